#ifndef CHIVEDEAL_FORWARD_USAGE_REPORT_HPP
#define CHIVEDEAL_FORWARD_USAGE_REPORT_HPP

#include "chivedeal/core/id.hpp"

#include <cstdint>
#include <map>

namespace chivedeal::forward {

/// Number of requests per workspace that started to run in one window.
struct usage_report
{
    /// Index of the window, counted from the Unix epoch.
    std::int64_t window = 0;
    std::map<workspace_id, std::int64_t> counts;

    friend bool operator==(const usage_report&, const usage_report&) = default;
};

} // namespace chivedeal::forward

#endif
