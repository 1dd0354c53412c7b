#ifndef FAKES_STAND_IN_PLATFORM_FAULTS_HPP
#define FAKES_STAND_IN_PLATFORM_FAULTS_HPP

#include "chivedeal/core/mutex.hpp"

#include <nlohmann/json.hpp>

#include <mutex>
#include <string>

namespace chivedeal::fakes {

/// The faults that `POST /faults` switches, by name.
class platform_faults
{
public:
    /// Returns an empty string, or the name that is not known.
    std::string set(const nlohmann::json& changes)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        for (const auto& [name, value] : changes.items())
            if (!m_values.contains(name) ||
                std::string(m_values[name].type_name()) != value.type_name())
                return name;
        m_values.update(changes);
        return {};
    }

    nlohmann::json all() const
    {
        const std::lock_guard<mutex> lock(m_mutex);
        return m_values;
    }

    bool is_on(const char* name) const { return all()[name].get<bool>(); }
    int number(const char* name) const { return all()[name].get<int>(); }

    /// Pools are named "ZONE/CLASS", or "ZONE/CLASS/reclaimable" and "ZONE/CLASS/on_demand".
    bool refuses_pool(const std::string& pool, bool reclaimable) const
    {
        const std::string full = pool + (reclaimable ? "/reclaimable" : "/on_demand");
        // Named, since a range-for does not keep the temporary that it reads a member of.
        const nlohmann::json values = all();
        for (const auto& name : values["start_refused_pools"])
            if (name == pool || name == full)
                return true;
        return false;
    }

private:
    mutable mutex m_mutex;
    nlohmann::json m_values{{"log_down", false},
                            {"log_slow_ms", 0},
                            {"log_lose_answers", false},
                            {"log_retention_records", 0},
                            {"list_lag_ms", 0},
                            {"list_down", false},
                            {"start_refused_pools", nlohmann::json::array()},
                            {"cloud_lose_answers", false},
                            {"notices_down", false}};
};

} // namespace chivedeal::fakes

#endif
