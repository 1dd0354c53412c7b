#ifndef CHIVEDEAL_FAKES_FAKE_RECORD_STORE_HPP
#define CHIVEDEAL_FAKES_FAKE_RECORD_STORE_HPP

#include "chivedeal/core/condition.hpp"
#include "chivedeal/core/mutex.hpp"
#include "chivedeal/forward/record_store.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
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
    std::map<forward::topic, std::uint64_t> first_offsets;
    bool down = false;
    std::uint64_t epoch = 0;
    std::map<forward::topic, std::vector<forward::stored_record>> copy;
    // Number of calls until the drill; absent if none is scheduled.
    std::optional<int> calls_until_drill;
    // Whether the drill follows the call instead of preceding it.
    bool drill_after_call = false;
    // Appends to this topic get no response and are executed later.
    std::optional<forward::topic> delayed_topic;

    struct late_append
    {
        forward::topic to;
        std::string key;
        std::string value;
        std::optional<std::uint64_t> expected_end;
    };
    std::vector<late_append> late_appends;

    /// Executes the delayed appends whose condition still holds.
    void execute_late_appends()
    {
        const std::lock_guard<mutex> lock(guard);
        for (const late_append& late : late_appends) {
            auto& all = records[late.to];
            if (!late.expected_end || *late.expected_end == all.size())
                all.push_back({.key = late.key, .value = late.value, .offset = all.size()});
        }
        late_appends.clear();
    }

    /// Takes the copy from which `drill` restores the store.
    void take_copy()
    {
        const std::lock_guard<mutex> lock(guard);
        copy = records;
    }

    /// Restores the store from the copy.
    void drill()
    {
        const std::lock_guard<mutex> lock(guard);
        restore();
    }

    /// Restores the store from the copy before or after the call with this number, from 1.
    void drill_at_call(int number, bool after)
    {
        const std::lock_guard<mutex> lock(guard);
        calls_until_drill = number;
        drill_after_call = after;
    }

    // The caller holds the guard.
    void restore()
    {
        records = copy;
        ++epoch;
        changed.notify_all();
    }

    // Counts a call; the caller holds the guard.
    void begin_call()
    {
        if (calls_until_drill && --*calls_until_drill == 0 && !drill_after_call) {
            calls_until_drill.reset();
            restore();
        }
    }

    void end_call()
    {
        if (calls_until_drill && *calls_until_drill == 0) {
            calls_until_drill.reset();
            restore();
        }
    }

    void put(forward::topic to, const std::string& key, const std::string& value)
    {
        const std::lock_guard<mutex> lock(guard);
        auto& all = records[to];
        all.push_back({.key = key, .value = value, .removed = value.empty(), .offset = all.size()});
        changed.notify_all();
    }

    /// The records of a topic expire; reads of them are truncated.
    void expire(forward::topic from)
    {
        const std::lock_guard<mutex> lock(guard);
        first_offsets[from] = records[from].size();
    }

    void set_down(bool value)
    {
        const std::lock_guard<mutex> lock(guard);
        down = value;
    }
};

/// A store in memory; every record is kept until a drill restores an older copy.
class fake_record_store : public forward::record_store
{
public:
    explicit fake_record_store(std::shared_ptr<fake_topics> topics) : m_topics(std::move(topics)) {}

    result<forward::record_batch> newest(forward::topic from) override
    {
        const std::lock_guard<mutex> lock(m_topics->guard);
        if (m_topics->down || m_cut_off)
            return unavailable();
        m_topics->begin_call();
        m_epoch = m_topics->epoch;
        forward::record_batch batch{.next_offset = m_topics->records[from].size()};
        std::map<std::string, forward::stored_record> by_key;
        for (const forward::stored_record& one : m_topics->records[from])
            by_key[one.key] = one;
        for (const auto& [key, one] : by_key)
            if (!one.removed)
                batch.records.push_back(one);
        m_topics->end_call();
        return batch;
    }

    result<forward::record_batch> read(forward::topic from, std::uint64_t offset,
                                       absl::Duration wait) override
    {
        const std::lock_guard<mutex> lock(m_topics->guard);
        if (!m_topics->down && m_topics->records[from].size() <= offset && !m_stopped)
            m_topics->changed.wait_for(m_topics->guard, wait);
        if (m_topics->down || m_cut_off)
            return unavailable();
        m_topics->begin_call();
        m_epoch = m_topics->epoch;
        if (const std::uint64_t first = m_topics->first_offsets[from]; offset < first)
            return forward::record_batch{.next_offset = first, .truncated = true};
        const auto& all = m_topics->records[from];
        if (m_epoch > 0 && offset > all.size())
            return forward::record_batch{.next_offset = 0, .truncated = true};
        forward::record_batch batch{.next_offset = offset};
        for (; batch.next_offset < all.size(); ++batch.next_offset)
            batch.records.push_back(all[batch.next_offset]);
        m_topics->end_call();
        return batch;
    }

    result<std::uint64_t> append(forward::topic to, const std::string& key,
                                 const std::string& value,
                                 std::optional<std::uint64_t> expected_end) override
    {
        const std::lock_guard<mutex> lock(m_topics->guard);
        if (m_topics->down || m_cut_off)
            return unavailable();
        m_topics->begin_call();
        m_epoch = m_topics->epoch;
        if (m_topics->delayed_topic == to) {
            m_topics->late_appends.push_back(
                {.to = to, .key = key, .value = value, .expected_end = expected_end});
            return error{.code = result_code::outcome_unknown, .message = "no response"};
        }
        auto& all = m_topics->records[to];
        if (expected_end && *expected_end != all.size())
            return error{.code = result_code::conflict, .message = "ends elsewhere"};
        all.push_back({.key = key, .value = value, .removed = value.empty(), .offset = all.size()});
        m_topics->changed.notify_all();
        const std::uint64_t offset = all.back().offset;
        m_topics->end_call();
        return offset;
    }

    std::uint64_t epoch() const override
    {
        const std::lock_guard<mutex> lock(m_topics->guard);
        return m_epoch;
    }

    /// Calls of this client fail while it is cut off from the store.
    void set_cut_off(bool value)
    {
        const std::lock_guard<mutex> lock(m_topics->guard);
        m_cut_off = value;
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
    bool m_cut_off = false;
    // Epoch in the newest answer.
    std::uint64_t m_epoch = 0;
};

} // namespace chivedeal::fakes

#endif
