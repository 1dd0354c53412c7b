#ifndef CHIVEDEAL_FORWARD_CALLER_SIDE_HPP
#define CHIVEDEAL_FORWARD_CALLER_SIDE_HPP

#include "chivedeal/forward/caller_connection.hpp"
#include "chivedeal/forward/caller_limits.hpp"
#include "chivedeal/forward/http_response_head.hpp"

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

/// The callers' connections: accepts, reads whole requests, writes answers.
class caller_side
{
public:
    /// Identifiers given to the poller have `id_mark` set.
    static constexpr std::uint64_t id_mark = std::uint64_t{1} << 62;

    caller_side(poller& events, caller_listener& handler) : m_poller(events), m_handler(handler) {}
    ~caller_side();
    caller_side(const caller_side&) = delete;
    caller_side& operator=(const caller_side&) = delete;

    void set_limits(const caller_limits& limits) { m_limits = limits; }

    void accept_all(int listener_socket, int listener, absl::Time now);
    void on_ready(std::uint64_t id, bool readable, bool writable, bool broken, absl::Time now);

    /// Sends a whole answer.
    void respond(std::uint64_t id, const http_response_head& head, std::string_view body,
                 absl::Time now);
    /// Begins an answer that is sent in chunks.
    void begin_stream(std::uint64_t id, const http_response_head& head, absl::Time now);
    void send_stream(std::uint64_t id, std::string_view bytes, absl::Time now);
    void end_stream(std::uint64_t id, absl::Time now);
    /// Ends the connection so that the answer can't look complete.
    void abort(std::uint64_t id);

    /// Bytes that the caller has not taken yet.
    std::size_t backlog(std::uint64_t id) const;

    /// From now on each answer ends its connection.
    void close_after_answers() { m_draining = true; }
    void close_idle(absl::Time now);

    /// Enforces the timeouts.
    void tick(absl::Time now);
    /// Frees connections that ended.
    void sweep();

    std::size_t size() const { return m_connections.size(); }

private:
    void read_all(caller_connection& one, absl::Time now);
    void process(caller_connection& one, absl::Time now);
    void refuse(caller_connection& one, int status, absl::Time now);
    void finish_answer(caller_connection& one, absl::Time now);
    void flush(caller_connection& one, absl::Time now);
    void on_written(caller_connection& one, absl::Time now);
    void update_interest(caller_connection& one);
    void close(caller_connection& one);
    caller_connection* find(std::uint64_t id);

    poller& m_poller;
    caller_listener& m_handler;
    caller_limits m_limits;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<caller_connection>> m_connections;
    std::vector<std::uint64_t> m_dead;
    std::uint64_t m_next = 1;
    bool m_draining = false;
};

} // namespace chivedeal::forward

#endif
