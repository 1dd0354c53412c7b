#ifndef CHIVEDEAL_MEMBERSHIP_OUTCOME_REPORT_HPP
#define CHIVEDEAL_MEMBERSHIP_OUTCOME_REPORT_HPP

#include "chivedeal/membership/outcome_count.hpp"

#include <cstdint>

namespace chivedeal::membership {

/// An outcome count on its way between nodes; a higher sequence replaces a lower one.
struct outcome_report
{
    std::uint64_t sequence = 0;
    outcome_count count;

    friend bool operator==(const outcome_report&, const outcome_report&) = default;
};

} // namespace chivedeal::membership

#endif
