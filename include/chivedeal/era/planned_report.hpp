#ifndef CHIVEDEAL_ERA_PLANNED_REPORT_HPP
#define CHIVEDEAL_ERA_PLANNED_REPORT_HPP

#include "chivedeal/forward/usage_report.hpp"

#include <cstdint>

namespace chivedeal::era {

/// A usage report that was recorded in the store before it is sent.
struct planned_report
{
    forward::usage_report report;
    /// Epoch in which the report was planned, also after it was written again in a later one.
    std::uint64_t epoch = 0;

    friend bool operator==(const planned_report&, const planned_report&) = default;
};

} // namespace chivedeal::era

#endif
