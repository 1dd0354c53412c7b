#include "bench/report.hpp"

#include "absl/strings/str_format.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace chivedeal::bench {

void report::add(std::string group, std::string measure, std::string policy, double value,
                 std::string unit)
{
    m_rows.push_back(
        {std::move(group), std::move(measure), std::move(policy), value, std::move(unit)});
}

std::string report::table() const
{
    std::string out = absl::StrFormat("%-12s %-34s %-22s %14s %s\n", "group", "measure", "policy",
                                      "value", "unit");
    for (const row& line : m_rows)
        absl::StrAppendFormat(&out, "%-12s %-34s %-22s %14.6g %s\n", line.group, line.measure,
                              line.policy, line.value, line.unit);
    return out;
}

std::string report::json() const
{
    nlohmann::json out = nlohmann::json::array();
    for (const row& line : m_rows)
        out.push_back({{"group", line.group},
                       {"measure", line.measure},
                       {"policy", line.policy},
                       {"value", line.value},
                       {"unit", line.unit}});
    return out.dump(2);
}

} // namespace chivedeal::bench
