#ifndef CHIVEDEAL_FORWARD_ENDPOINT_CONNECTION_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_CONNECTION_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/response_matcher.hpp"
#include "chivedeal/forward/response_reader.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace chivedeal::forward {

/// State of a connection to an endpoint and of the attempt that uses it.
struct endpoint_connection
{
    enum class state
    {
        connecting,
        busy,
        idle,
    };

    std::uint64_t id = 0;
    int descriptor = -1;
    endpoint_id endpoint;
    chivedeal::address address;
    state current_state = state::connecting;
    std::string input;
    std::string output;
    std::size_t output_sent_bytes = 0;
    std::unique_ptr<response_reader> reader;
    std::uint64_t exchange_id = 0;
    request_id expected_id;
    response_matcher matcher;
    bool is_head_request = false;
    bool head_processed = false;
    /// The response in progress belongs to another request and is discarded.
    bool discarding_response = false;
    /// Bytes of all responses that were discarded during the current attempt.
    std::size_t discarded_bytes = 0;
    absl::Time connect_started;
    absl::Time idle_deadline = absl::InfiniteFuture();
    /// Reading is paused because the caller is slow.
    bool paused = false;
    bool wants_write = true;
    /// A write failed, which also took the socket's pending error: reads then report an orderly end
    /// even if the endpoint reset the connection.
    bool write_failed = false;
    /// The descriptor is closed and the connection waits for `endpoint_side::sweep`.
    bool closed = false;
};

} // namespace chivedeal::forward

#endif
