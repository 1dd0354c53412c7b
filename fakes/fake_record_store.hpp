#ifndef CHIVEDEAL_FAKES_FAKE_RECORD_STORE_HPP
#define CHIVEDEAL_FAKES_FAKE_RECORD_STORE_HPP

#include "chivedeal/core/condition.hpp"
#include "chivedeal/core/mutex.hpp"
#include "chivedeal/forward/record_store.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::fakes {

/// What all stores of a test share.
struct fake_topics
{
    mutex guard;
    condition changed;
    std::map<forward::topic, std::vector<forward::stored_record>> records;
    bool down = false;

    void put(forward::topic to, const std::string& key, const std::string& value)
    {
        const std::lock_guard<mutex> lock(guard);
        auto& all = records[to];
        all.push_back({.key = key, .value = value, .removed = value.empty(), .offset = all.size()});
        changed.notify_all();
    }

    void set_down(bool value)
    {
        const std::lock_guard<mutex> lock(guard);
        down = value;
    }
};

/// A store in memory; every record is kept.
class fake_record_store : public forward::record_store
{
public:
    explicit fake_record_store(std::shared_ptr<fake_topics> topics) : m_topics(std::move(topics)) {}

    result<forward::record_batch> newest(forward::topic from) override
    {
        const std::lock_guard<mutex> lock(m_topics->guard);
        if (m_topics->down)
            return unavailable();
        forward::record_batch batch{.next_offset = m_topics->records[from].size()};
        std::map<std::string, forward::stored_record> by_key;
        for (const forward::stored_record& one : m_topics->records[from])
            by_key[one.key] = one;
        for (const auto& [key, one] : by_key)
            if (!one.removed)
                batch.records.push_back(one);
        return batch;
    }

    result<forward::record_batch> read(forward::topic from, std::uint64_t offset,
                                       absl::Duration wait) override
    {
        const std::lock_guard<mutex> lock(m_topics->guard);
        if (!m_topics->down && m_topics->records[from].size() <= offset && !m_stopped)
            m_topics->changed.wait_for(m_topics->guard, wait);
        if (m_topics->down)
            return unavailable();
        const auto& all = m_topics->records[from];
        forward::record_batch batch{.next_offset = offset};
        for (; batch.next_offset < all.size(); ++batch.next_offset)
            batch.records.push_back(all[batch.next_offset]);
        return batch;
    }

    result<std::uint64_t> append(forward::topic to, const std::string& key,
                                 const std::string& value,
                                 std::optional<std::uint64_t> expected_end) override
    {
        const std::lock_guard<mutex> lock(m_topics->guard);
        if (m_topics->down)
            return unavailable();
        auto& all = m_topics->records[to];
        if (expected_end && *expected_end != all.size())
            return error{.code = result_code::conflict, .message = "ends elsewhere"};
        all.push_back({.key = key, .value = value, .removed = value.empty(), .offset = all.size()});
        m_topics->changed.notify_all();
        return all.back().offset;
    }

    void stop() override
    {
        const std::lock_guard<mutex> lock(m_topics->guard);
        m_stopped = true;
        m_topics->changed.notify_all();
    }

private:
    static error unavailable()
    {
        return {.code = result_code::log_unavailable, .message = "planned outage"};
    }

    std::shared_ptr<fake_topics> m_topics;
    bool m_stopped = false;
};

} // namespace chivedeal::fakes

#endif
