#ifndef CHIVEDEAL_FORWARD_ENDPOINT_CONNECTION_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_CONNECTION_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/response_reader.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace chivedeal::forward {

/// A connection to an endpoint and the attempt that uses it.
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
    state current = state::connecting;
    std::string in;
    std::string out;
    std::size_t out_done = 0;
    std::unique_ptr<response_reader> reader;
    std::uint64_t exchange = 0;
    request_id expected_id;
    bool is_head_request = false;
    bool announced_head = false;
    /// The answer under way belongs to another request.
    bool skipping = false;
    /// Answers read on this connection.
    int answers = 0;
    absl::Time started;
    absl::Time idle_until = absl::InfiniteFuture();
    bool paused = false;
    bool wants_write = true;
    bool dead = false;
};

} // namespace chivedeal::forward

#endif
