#ifndef FAKES_FAKE_LOG_SERVICE_HPP
#define FAKES_FAKE_LOG_SERVICE_HPP

#include "chivedeal/core/condition.hpp"
#include "chivedeal/core/mutex.hpp"
#include "chivedeal/state/log_batch.hpp"
#include "chivedeal/state/log_service.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace chivedeal::fakes {

/// In-memory log that simulates outages, lost responses and limited retention.
class fake_log_service : public state::log_service
{
public:
    result<std::uint64_t> append(const std::string& stream,
                                 const std::vector<std::string>& records) override
    {
        const std::lock_guard<mutex> lock(m_mutex);
        if (m_down)
            return unavailable();
        stream_records& target = m_streams[stream];
        const std::uint64_t offset = target.first + target.records.size();
        target.records.insert(target.records.end(), records.begin(), records.end());
        trim();
        m_changed.notify_all();
        if (m_lost_answers > 0) {
            --m_lost_answers;
            return unavailable();
        }
        return offset;
    }

    result<state::log_batch> read(const std::string& stream, std::uint64_t from, int max,
                                  absl::Duration wait) override
    {
        const std::lock_guard<mutex> lock(m_mutex);
        const stream_records& source = m_streams[stream];
        if (!m_down && from >= source.first + source.records.size())
            m_changed.wait_for(m_mutex, wait);
        if (m_down)
            return unavailable();
        state::log_batch batch{.stream = stream,
                               .first = source.first,
                               .next = source.first + source.records.size(),
                               .entries = {}};
        for (std::uint64_t offset = std::max(from, batch.first);
             offset < batch.next && batch.entries.size() < static_cast<std::size_t>(max); ++offset)
            batch.entries.push_back(
                {.offset = offset, .data = source.records[offset - batch.first]});
        return batch;
    }

    void set_down(bool down)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_down = down;
        m_changed.notify_all();
    }

    /// Makes the next `count` appends take effect but return an error.
    void lose_answers(int count)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_lost_answers = count;
    }

    void set_retention(std::size_t records)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_retention = records;
        trim();
    }

private:
    struct stream_records
    {
        std::uint64_t first = 1;
        std::deque<std::string> records;
    };

    static error unavailable()
    {
        return {.code = result_code::log_unavailable, .message = "simulated log outage"};
    }

    void trim()
    {
        for (auto& [name, stream] : m_streams)
            for (; m_retention > 0 && stream.records.size() > m_retention; ++stream.first)
                stream.records.pop_front();
    }

    mutable mutex m_mutex;
    condition m_changed;
    std::map<std::string, stream_records> m_streams;
    bool m_down = false;
    int m_lost_answers = 0;
    std::size_t m_retention = 0;
};

} // namespace chivedeal::fakes

#endif
