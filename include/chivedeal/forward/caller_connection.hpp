#ifndef CHIVEDEAL_FORWARD_CALLER_CONNECTION_HPP
#define CHIVEDEAL_FORWARD_CALLER_CONNECTION_HPP

#include "chivedeal/forward/request_reader.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace chivedeal::forward {

/// State of a caller's connection: its buffers and the request in progress.
struct caller_connection
{
    std::uint64_t id = 0;
    int descriptor = -1;
    /// The listener that accepted the connection, as passed to `caller_side::accept_all`.
    int listener = 0;
    std::string input;
    std::string output;
    std::size_t output_sent_bytes = 0;
    std::unique_ptr<request_reader> reader;
    absl::Time request_started;
    absl::Time last_activity;
    /// The handler has the request and hasn't finished its response.
    bool awaiting_response = false;
    /// The response in progress is sent with chunked transfer coding.
    bool chunked = false;
    bool sent_continue = false;
    bool is_head_request = false;
    bool keep_alive = true;
    /// The connection closes once `output` is written. Further input is discarded.
    bool closing = false;
    /// Output was sent since the caller's host was last seen to have acknowledged all of it.
    bool delivery_pending = false;
    /// Output that the caller's host had not acknowledged when it was last looked at.
    std::size_t last_unsent_bytes = 0;
    /// End of the lingering close: the write side is shut down and input is read and discarded
    /// until the output is delivered, and then until this time. Closing a socket with unread input
    /// resets the connection, and the caller may then lose the response.
    absl::Time linger_until = absl::InfinitePast();
    bool lingering = false;
    /// The descriptor is closed and the connection waits for `caller_side::sweep`.
    bool closed = false;
    bool wants_read = true;
    bool wants_write = false;
    /// A response was completed on this connection.
    bool has_served = false;
    /// `caller_side::process_input` is running for this connection.
    bool processing = false;
    /// The connection is in the list of those whose buffered input can be processed.
    bool resumable = false;
    /// Requests that were processed since other connections had their turn.
    int requests_in_turn = 0;
    /// Memory of the request in progress and of its response, which the handler keeps.
    std::size_t request_bytes = 0;
    std::size_t releasable_bytes = 0;
    std::size_t response_bytes = 0;
    /// Unread input and unacknowledged output that the kernel held when it was last looked at.
    std::size_t kernel_bytes = 0;
};

} // namespace chivedeal::forward

#endif
