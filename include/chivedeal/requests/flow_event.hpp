#ifndef CHIVEDEAL_REQUESTS_FLOW_EVENT_HPP
#define CHIVEDEAL_REQUESTS_FLOW_EVENT_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/error.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/membership/stream_state.hpp"
#include "chivedeal/requests/attempt_event.hpp"
#include "chivedeal/requests/cache_event_batch.hpp"
#include "chivedeal/requests/caller_request.hpp"
#include "chivedeal/requests/load_report.hpp"
#include "chivedeal/state/applied_record.hpp"
#include "chivedeal/state/claim_entry.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace chivedeal::state {
struct cluster_state;
}

namespace chivedeal::membership {
struct membership_view;
}

namespace chivedeal::requests {

/// Identifies a caller's connection within the node, so that an event of an earlier connection does
/// not affect a request that its caller has since resumed. 0 means no connection.
using connection_number = std::uint64_t;

struct request_arrived
{
    caller_request request;
    connection_number connection = 0;

    friend bool operator==(const request_arrived&, const request_arrived&) = default;
};

/// A caller reconnected for the rest of an answer.
struct request_resumed
{
    request_id request;
    connection_number connection = 0;
    std::uint64_t next_position = 0;

    friend bool operator==(const request_resumed&, const request_resumed&) = default;
};

/// The caller's connection was closed.
struct caller_disconnected
{
    request_id request;
    connection_number connection = 0;

    friend bool operator==(const caller_disconnected&, const caller_disconnected&) = default;
};

/// The caller cancelled the request.
struct request_cancelled
{
    request_id request;

    friend bool operator==(const request_cancelled&, const request_cancelled&) = default;
};

/// A record of the claims stream was read back.
struct claim_read_back
{
    state::applied_record applied;

    friend bool operator==(const claim_read_back&, const claim_read_back&) = default;
};

/// The log did not accept a claim.
struct claim_refused
{
    std::string key;
    error reason;

    friend bool operator==(const claim_refused&, const claim_refused&) = default;
};

/// Claims were loaded from a snapshot.
struct claims_restored
{
    std::vector<state::claim_entry> claims;

    friend bool operator==(const claims_restored&, const claims_restored&) = default;
};

/// A KV cache transfer completed; `handle` is empty if it failed.
struct kv_moved
{
    request_id request;
    int attempt = 0;
    endpoint_id target;
    std::string handle;

    friend bool operator==(const kv_moved&, const kv_moved&) = default;
};

/// The node must stop without interrupting open requests.
struct drain_requested
{
    friend bool operator==(const drain_requested&, const drain_requested&) = default;
};

/// A peer accepted or refused a stream.
struct hand_off_answered
{
    request_id request;
    address peer;
    bool accepted = false;

    friend bool operator==(const hand_off_answered&, const hand_off_answered&) = default;
};

/// A peer handed a stream off to this node.
struct stream_received
{
    membership::stream_state stream;
    /// See `caller_request::prefix`.
    std::string prefix;

    friend bool operator==(const stream_received&, const stream_received&) = default;
};

struct state_changed
{
    std::shared_ptr<const state::cluster_state> state;

    friend bool operator==(const state_changed&, const state_changed&) = default;
};

struct view_changed
{
    std::shared_ptr<const membership::membership_view> view;

    friend bool operator==(const view_changed&, const view_changed&) = default;
};

/// Periodic timer: checks deadlines and starts delayed retries that are due.
struct tick
{
    friend bool operator==(const tick&, const tick&) = default;
};

/// An input of the request flow.
using flow_event =
    std::variant<request_arrived, request_resumed, caller_disconnected, request_cancelled,
                 attempt_event, claim_read_back, claim_refused, claims_restored, kv_moved,
                 drain_requested, hand_off_answered, stream_received, load_report,
                 cache_event_batch, state_changed, view_changed, tick>;

} // namespace chivedeal::requests

#endif
