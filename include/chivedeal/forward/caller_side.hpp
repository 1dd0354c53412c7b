#ifndef CHIVEDEAL_FORWARD_CALLER_SIDE_HPP
#define CHIVEDEAL_FORWARD_CALLER_SIDE_HPP

#include "chivedeal/forward/caller_connection.hpp"
#include "chivedeal/forward/caller_limits.hpp"
#include "chivedeal/forward/http_response_head.hpp"
#include "chivedeal/forward/unsent_output.hpp"
#include "chivedeal/guard/connection_limits.hpp"
#include "chivedeal/guard/memory_budget.hpp"
#include "chivedeal/guard/shed_counts.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace chivedeal::forward {

class caller_listener;
class poller;

/// Manages callers' connections: accepts them, reads whole requests and writes responses.
class caller_side
{
public:
    /// Bit that marks the connection identifiers of this class among all identifiers registered
    /// with the poller.
    static constexpr std::uint64_t id_mark = std::uint64_t{1} << 62;

    caller_side(poller& event_poller, caller_listener& handler,
                const guard::connection_limits& bounds)
        : m_poller(event_poller),
          m_handler(handler),
          m_bounds(bounds),
          m_memory(bounds.buffer_bytes)
    {}
    ~caller_side();
    caller_side(const caller_side&) = delete;
    caller_side& operator=(const caller_side&) = delete;

    void set_limits(const caller_limits& limits) { m_limits = limits; }

    void accept_all(int listener_socket, int listener, absl::Time now);
    void on_ready(std::uint64_t id, bool readable, bool writable, bool broken, absl::Time now);

    /// Sends a complete response.
    void respond(std::uint64_t id, const http_response_head& head, std::string_view body,
                 absl::Time now);
    /// Starts a response that is sent with chunked transfer coding.
    void begin_stream(std::uint64_t id, const http_response_head& head, absl::Time now);
    void send_stream(std::uint64_t id, std::string_view bytes, absl::Time now);
    void end_stream(std::uint64_t id, absl::Time now);
    /// Closes the connection at once. A chunked response then lacks its last chunk, so the caller
    /// can't mistake it for complete.
    void abort(std::uint64_t id);

    /// Number of buffered output bytes that aren't written to the socket yet.
    std::size_t backlog(std::uint64_t id) const;
    unsent_output unsent() const;

    /// Accounts what the handler keeps of the request in progress, of which it can give up
    /// `releasable_bytes` while the request goes on.
    void charge_request(std::uint64_t id, std::size_t bytes, std::size_t releasable_bytes);
    /// Accounts the part of a response that is kept until it is complete.
    void charge_response(std::uint64_t id, std::size_t bytes);
    /// Frees memory until the buffers are within their limit: first what requests in progress can
    /// give up, then the connections that hold most are rejected or closed. Not to be called while
    /// an event is handled.
    void enforce_budget(absl::Time now);
    guard::shed_counts shed() const { return m_shed; }
    std::size_t buffered_bytes() const { return m_memory.total(); }

    /// Whether requests that were buffered behind others can be processed.
    bool has_resumable() const { return !m_resumable_ids.empty(); }
    /// Processes them. Not to be called while an event is handled: a request would otherwise be
    /// processed inside the response to the one before it.
    void resume(absl::Time now);

    /// Makes every later response close its connection, unless a further request has been sent.
    void close_after_responses() { m_draining = true; }
    void close_idle(absl::Time now);

    /// Enforces the header, idle and linger timeouts.
    void tick(absl::Time now);
    /// Frees closed connections. Not to be called while an event is handled, which may still
    /// refer to them.
    void sweep();

    std::size_t size() const { return m_connections.size(); }

private:
    void read_all(caller_connection& connection, absl::Time now);
    void process_input(caller_connection& connection, absl::Time now);
    void process_requests(caller_connection& connection, absl::Time now);
    void process_later(caller_connection& connection);
    bool closes_after_response(const caller_connection& connection) const;
    bool is_held_up(const caller_connection& connection) const;
    void reject(caller_connection& connection, int status, absl::Time now);
    void finish_response(caller_connection& connection, absl::Time now);
    void flush(caller_connection& connection, absl::Time now);
    void after_flush(caller_connection& connection, absl::Time now);
    void update_interest(caller_connection& connection);
    bool is_delivering(caller_connection& connection, absl::Time now) const;
    // Brings the memory that the connection holds up to date.
    void account(const caller_connection& connection);
    bool make_room(absl::Time now);
    // Returns null if no connection holds anything.
    caller_connection* next_to_shed();
    void shed(caller_connection& connection, absl::Time now);
    void drop(caller_connection& connection, absl::Time now);
    void close(caller_connection& connection);
    caller_connection* find(std::uint64_t id);

    poller& m_poller;
    caller_listener& m_handler;
    guard::connection_limits m_bounds;
    guard::memory_budget m_memory;
    // Parts of it: what requests in progress can give up, and connections whose request is still
    // being read.
    guard::memory_budget m_releasable{0};
    guard::memory_budget m_reading{0};
    guard::shed_counts m_shed;
    caller_limits m_limits;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<caller_connection>> m_connections;
    std::vector<std::uint64_t> m_closed_ids;
    std::vector<std::uint64_t> m_resumable_ids;
    std::uint64_t m_next_id = 1;
    bool m_draining = false;
};

} // namespace chivedeal::forward

#endif
