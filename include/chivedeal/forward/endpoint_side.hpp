#ifndef CHIVEDEAL_FORWARD_ENDPOINT_SIDE_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_SIDE_HPP

#include "chivedeal/forward/attempt_failure.hpp"
#include "chivedeal/forward/endpoint_connection.hpp"
#include "chivedeal/forward/endpoint_request.hpp"
#include "chivedeal/forward/probe_result.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal::forward {

class endpoint_listener;
class poller;

/// Manages the connections to endpoints: sends requests, reads responses and keeps idle connections
/// for reuse.
class endpoint_side
{
public:
    /// Bit that marks the connection identifiers of this class among all identifiers registered
    /// with the poller.
    static constexpr std::uint64_t id_mark = std::uint64_t{1} << 61;

    struct options
    {
        /// Header field in which endpoints echo the request's identifier.
        std::string id_field;
        /// Assumed for endpoints that announce no keep-alive timeout. They keep idle connections
        /// open for longer than this.
        absl::Duration idle_timeout = absl::Seconds(4);
        absl::Duration connect_timeout = absl::Milliseconds(700);
        /// To all endpoints together. An idle connection is closed for a new one.
        std::size_t max_connections = std::numeric_limits<std::size_t>::max();
    };

    endpoint_side(poller& event_poller, endpoint_listener& handler, options settings)
        : m_poller(event_poller), m_handler(handler), m_options(std::move(settings))
    {}
    ~endpoint_side();
    endpoint_side(const endpoint_side&) = delete;
    endpoint_side& operator=(const endpoint_side&) = delete;

    /// Sends a request over an idle or a new connection. Returns false if none is available: the
    /// endpoint's connection limit is reached, or no socket could be opened. A failure of the
    /// connection is reported to the listener in a later turn of the event loop, never from within
    /// this call, so that a listener that sends the next attempt doesn't recurse.
    bool send(endpoint_request request, absl::Time now);

    /// Opens a connection to an endpoint without sending a request, and reports the result to the
    /// listener. A connection that opens is kept for reuse. Returns false if no socket could be
    /// opened.
    bool probe(const endpoint_id& endpoint, const address& remote, absl::Time now);

    /// Aborts an exchange's attempt by closing its connection.
    void cancel(std::uint64_t exchange_id);

    /// Fails the attempts at the endpoints that `is_affected` selects of which no byte was written,
    /// and ends probes there.
    void abandon_unsent(const std::function<bool(const endpoint_id&)>& is_affected, absl::Time now);

    /// Pauses or resumes reading a response, as backpressure from a slow caller.
    void pause(std::uint64_t exchange_id, bool paused);

    /// Closes the idle connections to an endpoint that was removed.
    void forget(const endpoint_id& endpoint);

    void on_ready(std::uint64_t id, bool readable, bool writable, bool broken, absl::Time now);
    /// Enforces the connect and idle timeouts.
    void tick(absl::Time now);
    /// Frees closed connections. Not to be called while an event is handled, which may still
    /// refer to them.
    void sweep();

    std::size_t size() const { return m_connections.size(); }
    /// Number of connections opened since the start.
    std::uint64_t opened() const { return m_next_id - 1; }

private:
    endpoint_connection* take_idle(const endpoint_id& endpoint, const address& remote,
                                   absl::Time now);
    endpoint_connection* open(const endpoint_id& endpoint, const address& remote, absl::Time now);
    bool make_room();
    void keep_idle(endpoint_connection& connection, absl::Duration idle_timeout, absl::Time now);
    void finish_probe(endpoint_connection& connection, absl::Time now);
    void start_exchange(endpoint_connection& connection, endpoint_request request, absl::Time now);
    // Returns false if the connection has failed.
    bool write_output(endpoint_connection& connection, absl::Time now);
    void flush(endpoint_connection& connection, absl::Time now);
    void read_all(endpoint_connection& connection, absl::Time now);
    void process_input(endpoint_connection& connection, absl::Time now);
    // Returns why the attempt fails, or null.
    const char* process_head(endpoint_connection& connection, absl::Time now);
    void finish_exchange(endpoint_connection& connection, absl::Time now);
    void fail_attempt(endpoint_connection& connection, const char* reason, absl::Time now,
                      attempt_failure failure = attempt_failure::connection_lost);
    void fail_connect(endpoint_connection& connection, probe_result result, const char* reason,
                      absl::Time now);
    void close(endpoint_connection& connection);
    void update_interest(endpoint_connection& connection);

    poller& m_poller;
    endpoint_listener& m_handler;
    options m_options;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<endpoint_connection>> m_connections;
    absl::flat_hash_map<std::uint64_t, std::uint64_t> m_connection_id_by_exchange;
    absl::flat_hash_map<endpoint_id, std::vector<std::uint64_t>> m_idle_ids;
    absl::flat_hash_map<endpoint_id, int> m_open_counts;
    std::vector<std::uint64_t> m_closed_ids;
    std::uint64_t m_next_id = 1;
};

} // namespace chivedeal::forward

#endif
