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

/// Periodic event that drives expiry, renewal and takeover.
struct lease_tick
{
    friend bool operator==(const lease_tick&, const lease_tick&) = default;
};

/// A new cluster state. One that was loaded from a snapshot skips the records it covers.
struct state_update
{
    std::shared_ptr<const state::cluster_state> state;

    friend bool operator==(const state_update&, const state_update&) = default;
};

/// The record was not accepted for appending, so it can have no effect.
struct append_refused
{
    change_id change;

    friend bool operator==(const append_refused&, const append_refused&) = default;
};

/// Planned shutdown: release all leases and acquire no more.
struct release_leases
{
    friend bool operator==(const release_leases&, const release_leases&) = default;
};

using lease_event =
    std::variant<state::applied_record, state_update, lease_tick, append_refused, release_leases>;

} // namespace chivedeal::control

#endif
