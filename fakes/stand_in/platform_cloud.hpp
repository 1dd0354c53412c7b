#ifndef FAKES_STAND_IN_PLATFORM_CLOUD_HPP
#define FAKES_STAND_IN_PLATFORM_CLOUD_HPP

#include "chivedeal/core/mutex.hpp"

#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace chivedeal::fakes {

/// Instances, their lagging list, reclaim notices, starts and stops.
///
/// It starts no process: an instance that was registered with status `spare` goes live when a
/// start asks for its zone and class.
class platform_cloud
{
public:
    void register_instance(const nlohmann::json& instance)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        nlohmann::json complete{{"address", "127.0.0.1"},
                                {"port", 0},
                                {"region", ""},
                                {"zone", ""},
                                {"class", ""},
                                {"reclaimable", false},
                                {"kind", "engine"},
                                {"service", ""},
                                {"version", ""},
                                {"status", "live"}};
        complete.update(instance);
        m_instances[instance["id"].get<std::string>()] = std::move(complete);
        remember_list();
    }

    void remove_instance(const std::string& id)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_instances.erase(id);
        remember_list();
    }

    /// The list as it was `lag` ago, but never older than one shown before: a list that lags more
    /// stops, it does not go back to before its instances were registered.
    nlohmann::json list(absl::Duration lag)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_shown = std::max(m_shown, absl::Now() - lag);
        const nlohmann::json* found = nullptr;
        for (const auto& [time, instances] : m_history) {
            if (time > m_shown)
                break;
            found = &instances;
        }
        return {{"instances", found == nullptr ? nlohmann::json::array() : *found}};
    }

    /// Adds a reclaim notice and marks the instance as leaving in the list.
    nlohmann::json add_notice(const std::string& id, int deadline_ms)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        nlohmann::json notice{
            {"seq", m_notices.size() + 1}, {"instance", id}, {"deadline_ms", deadline_ms}};
        m_notices.push_back(notice);
        if (const auto found = m_instances.find(id); found != m_instances.end())
            found->second["status"] = "leaving";
        remember_list();
        return notice;
    }

    nlohmann::json notices_after(std::uint64_t seq)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        nlohmann::json found = nlohmann::json::array();
        for (const auto& notice : m_notices)
            if (notice["seq"].get<std::uint64_t>() > seq)
                found.push_back(notice);
        return {{"next", m_notices.size()}, {"notices", std::move(found)}};
    }

    /// Returns the instance, the earlier one for a known token, or null without a spare one.
    /// `is_new` says whether this call started it.
    nlohmann::json start(const nlohmann::json& order, bool& is_new)
    {
        is_new = false;
        const std::lock_guard<mutex> lock(m_mutex);
        const std::string token = order["token"].get<std::string>();
        if (const auto known = m_started.find(token); known != m_started.end())
            return known->second;
        for (auto& [id, instance] : m_instances) {
            if (instance["status"] != "spare" || instance["zone"] != order["zone"] ||
                instance["class"] != order["class"])
                continue;
            instance.update({{"status", "live"},
                             {"token", token},
                             {"reclaimable", order["reclaimable"]},
                             {"service", order["service"]},
                             {"version", order["version"]}});
            remember_list();
            is_new = true;
            return m_started[token] = instance;
        }
        return nullptr;
    }

    nlohmann::json prices()
    {
        const std::lock_guard<mutex> lock(m_mutex);
        return {{"prices", m_prices}};
    }

    /// Entries: {region, zone, class, reclaimable, price} in currency units an hour.
    void set_prices(nlohmann::json prices)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_prices = std::move(prices);
    }

private:
    // Longer than any lag that a scenario sets.
    static constexpr absl::Duration history_kept = absl::Minutes(2);

    void remember_list()
    {
        nlohmann::json listed = nlohmann::json::array();
        for (const auto& [id, instance] : m_instances)
            if (instance["status"] != "spare")
                listed.push_back(instance);
        const absl::Time now = absl::Now();
        m_history.emplace_back(now, std::move(listed));
        while (m_history.size() > 1 && m_history[1].first < now - history_kept)
            m_history.pop_front();
    }

    mutex m_mutex;
    std::map<std::string, nlohmann::json> m_instances;
    std::map<std::string, nlohmann::json> m_started;
    std::deque<std::pair<absl::Time, nlohmann::json>> m_history;
    absl::Time m_shown = absl::InfinitePast();
    nlohmann::json m_notices = nlohmann::json::array();
    nlohmann::json m_prices = nlohmann::json::array();
};

} // namespace chivedeal::fakes

#endif
