#ifndef CHIVEDEAL_CONTROL_LEASE_EVENT_HPP
#define CHIVEDEAL_CONTROL_LEASE_EVENT_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/state/applied_record.hpp"

#include <memory>
#include <variant>

namespace chivedeal::state {
struct cluster_state;
}

namespace chivedeal::control {

/// Time passed.
struct lease_tick
{
    friend bool operator==(const lease_tick&, const lease_tick&) = default;
};

/// A new state, which may come from a snapshot and then skips records.
struct state_update
{
    std::shared_ptr<const state::cluster_state> state;

    friend bool operator==(const state_update&, const state_update&) = default;
};

/// The record was not taken for the log, so that it certainly has no effect.
struct append_refused
{
    change_id change;

    friend bool operator==(const append_refused&, const append_refused&) = default;
};

/// A planned stop: give all leases up and take no other.
struct release_leases
{
    friend bool operator==(const release_leases&, const release_leases&) = default;
};

using lease_event =
    std::variant<state::applied_record, state_update, lease_tick, append_refused, release_leases>;

} // namespace chivedeal::control

#endif
