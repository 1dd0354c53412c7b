#ifndef CHIVEDEAL_MEMBERSHIP_OUTCOME_COUNT_HPP
#define CHIVEDEAL_MEMBERSHIP_OUTCOME_COUNT_HPP

#include "chivedeal/core/id.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace chivedeal::membership {

/// Outcomes of a version that one node has seen since the move was declared. Counts only grow
/// within a node's incarnation, so that the newest replaces older ones.
struct outcome_count
{
    node_id node;
    service_id service;
    version_id version;
    std::uint64_t declared_offset = 0;
    std::string route;
    int load_band = 0;
    std::uint64_t requests = 0;
    std::uint64_t errors = 0;
    std::uint64_t slow = 0;

    friend bool operator==(const outcome_count&, const outcome_count&) = default;
    friend auto operator<=>(const outcome_count&, const outcome_count&) = default;
};

} // namespace chivedeal::membership

#endif
