#ifndef CHIVEDEAL_STATE_VERSION_MOVE_HPP
#define CHIVEDEAL_STATE_VERSION_MOVE_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace chivedeal::state {

enum class move_status
{
    open,
    done,
    rolled_back,
};

/// Declaration at /teams/TEAM/moves/SERVICE, with the progress recorded by later records.
struct version_move
{
    service_id service;
    team_id team;
    version_id from;
    version_id to;
    /// Wall-clock time.
    absl::Time deadline;
    absl::Duration bake = absl::Seconds(30);
    /// Maximum share of traffic, 0 to 1, before the version is proven good.
    double max_unproven_share = 0.05;
    /// Share of the service's traffic that is routed to `to`, 0 to 1.
    double share = 0;
    move_status status = move_status::open;
    std::string reason;
    std::uint64_t declared_offset = 0;
    std::uint64_t step_offset = 0;

    friend bool operator==(const version_move&, const version_move&) = default;
};

} // namespace chivedeal::state

#endif
