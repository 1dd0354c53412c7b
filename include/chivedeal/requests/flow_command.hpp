#ifndef CHIVEDEAL_REQUESTS_FLOW_COMMAND_HPP
#define CHIVEDEAL_REQUESTS_FLOW_COMMAND_HPP

#include "chivedeal/control/attempt_sample.hpp"
#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/membership/stream_state.hpp"
#include "chivedeal/requests/answer_event.hpp"
#include "chivedeal/requests/attempt_start.hpp"
#include "chivedeal/state/record.hpp"

#include <cstdint>
#include <variant>

namespace chivedeal::requests {

/// Sends an event to the caller of a request.
struct send_answer
{
    request_id request;
    std::uint64_t connection = 0;
    answer_event event;

    friend bool operator==(const send_answer&, const send_answer&) = default;
};

/// Closes a connection whose caller resumed the request on another one.
struct drop_connection
{
    std::uint64_t connection = 0;

    friend bool operator==(const drop_connection&, const drop_connection&) = default;
};

/// Asks the endpoint to stop an attempt.
struct cancel_attempt
{
    request_id request;
    int attempt = 0;
    address target;

    friend bool operator==(const cancel_attempt&, const cancel_attempt&) = default;
};

/// Transfers the KV cache of a running attempt; completes with `kv_moved`.
struct move_kv
{
    request_id request;
    int attempt = 0;
    address source;
    endpoint_id target;
    address target_address;

    friend bool operator==(const move_kv&, const move_kv&) = default;
};

/// Appends a claim, a release or a result to the log; a claim that cannot be appended completes
/// with `claim_refused`.
struct append_record
{
    state::record entry;

    friend bool operator==(const append_record&, const append_record&) = default;
};

/// Offers a stream to a peer; completes with `hand_off_answered`.
struct hand_off_stream
{
    /// RPC address of the peer.
    address peer;
    /// HTTP address at which the caller resumes the stream.
    address peer_http;
    membership::stream_state stream;

    friend bool operator==(const hand_off_stream&, const hand_off_stream&) = default;
};

/// Reports how an attempt ended, as evidence about the version that ran it.
struct add_sample
{
    control::attempt_sample sample;

    friend bool operator==(const add_sample&, const add_sample&) = default;
};

/// Marks this node as leaving, so that new callers are no longer sent to it.
struct announce_leaving
{
    friend bool operator==(const announce_leaving&, const announce_leaving&) = default;
};

/// Stops the node: its drain is complete and no request is open.
struct stop_node
{
    friend bool operator==(const stop_node&, const stop_node&) = default;
};

/// A side effect that the request flow asks its owner to execute.
using flow_command =
    std::variant<attempt_start, cancel_attempt, send_answer, drop_connection, move_kv,
                 append_record, hand_off_stream, add_sample, announce_leaving, stop_node>;

} // namespace chivedeal::requests

#endif
