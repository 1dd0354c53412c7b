#ifndef CHIVEDEAL_FORWARD_CALLER_CONNECTION_HPP
#define CHIVEDEAL_FORWARD_CALLER_CONNECTION_HPP

#include "chivedeal/forward/request_reader.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace chivedeal::forward {

/// A caller's connection: its bytes in and out and the request under way.
struct caller_connection
{
    std::uint64_t id = 0;
    int descriptor = -1;
    /// Which listener accepted it.
    int listener = 0;
    std::string in;
    std::string out;
    std::size_t out_done = 0;
    std::unique_ptr<request_reader> reader;
    absl::Time request_started;
    absl::Time last_activity;
    /// A request is with the handler.
    bool busy = false;
    /// The answer under way has no length and is sent in chunks.
    bool chunked = false;
    bool sent_continue = false;
    bool to_head_request = false;
    bool keep_alive = true;
    /// Closes once `out` is written.
    bool closing = false;
    /// The write side is shut; what still comes is read and dropped until this time, since closing
    /// with unread bytes would reset the connection under the answer.
    absl::Time linger_until = absl::InfinitePast();
    bool lingering = false;
    bool dead = false;
    bool wants_read = true;
    bool wants_write = false;
};

} // namespace chivedeal::forward

#endif
