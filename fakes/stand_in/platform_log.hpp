#ifndef FAKES_STAND_IN_PLATFORM_LOG_HPP
#define FAKES_STAND_IN_PLATFORM_LOG_HPP

#include "chivedeal/core/condition.hpp"
#include "chivedeal/core/mutex.hpp"

#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::fakes {

/// Append-only streams with offsets from 1, retention by record count and long poll.
class platform_log
{
public:
    /// Returns the offset of the first record. `retention` of 0 keeps all records.
    std::uint64_t append(const std::string& name, std::vector<std::string> records, int retention)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        stream& target = m_streams[name];
        const std::uint64_t offset = target.first + target.records.size();
        for (std::string& data : records)
            target.records.push_back(std::move(data));
        trim(target, retention);
        m_changed.notify_all();
        return offset;
    }

    nlohmann::json read(const std::string& name, std::uint64_t from, int max, absl::Duration wait)
    {
        const absl::Time until = absl::Now() + wait;
        const std::lock_guard<mutex> lock(m_mutex);
        stream& source = m_streams[name];
        while (from >= source.first + source.records.size() && absl::Now() < until && !m_interrupt)
            m_changed.wait_for(m_mutex, until - absl::Now());
        nlohmann::json records = nlohmann::json::array();
        const std::uint64_t next = source.first + source.records.size();
        for (std::uint64_t at = std::max(from, source.first);
             at < next && records.size() < static_cast<std::size_t>(std::max(max, 0)); ++at)
            records.push_back({{"offset", at}, {"data", source.records[at - source.first]}});
        return {{"first", source.first}, {"next", next}, {"records", std::move(records)}};
    }

    /// Applies changed faults: ends the waits of an outage and trims to the new retention.
    void on_faults(bool down, int retention)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_interrupt = down;
        for (auto& [name, target] : m_streams)
            trim(target, retention);
        m_changed.notify_all();
    }

private:
    struct stream
    {
        std::uint64_t first = 1;
        std::deque<std::string> records;
    };

    static void trim(stream& target, int retention)
    {
        while (retention > 0 && target.records.size() > static_cast<std::size_t>(retention)) {
            target.records.pop_front();
            ++target.first;
        }
    }

    mutex m_mutex;
    condition m_changed;
    std::map<std::string, stream> m_streams;
    bool m_interrupt = false;
};

} // namespace chivedeal::fakes

#endif
