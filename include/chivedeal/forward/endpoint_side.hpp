#ifndef CHIVEDEAL_FORWARD_ENDPOINT_SIDE_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_SIDE_HPP

#include "chivedeal/forward/endpoint_connection.hpp"
#include "chivedeal/forward/endpoint_request.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal::forward {

class endpoint_listener;
class poller;

/// The connections to endpoints: keeps idle ones, sends requests, reads answers.
class endpoint_side
{
public:
    static constexpr std::uint64_t id_mark = std::uint64_t{1} << 61;

    struct options
    {
        /// Field in which endpoints repeat the request's identifier.
        std::string id_field;
        /// Endpoints that close idle connections without saying when keep them longer than this.
        absl::Duration idle_timeout = absl::Seconds(4);
        absl::Duration connect_timeout = absl::Milliseconds(700);
    };

    endpoint_side(poller& events, endpoint_listener& handler, options settings)
        : m_poller(events), m_handler(handler), m_options(std::move(settings))
    {}
    ~endpoint_side();
    endpoint_side(const endpoint_side&) = delete;
    endpoint_side& operator=(const endpoint_side&) = delete;

    /// Sends a request over an idle connection or a new one. False when there is neither: the
    /// endpoint has all the connections it may have, or no socket could be opened.
    bool send(endpoint_request request, absl::Time now);

    /// Ends an exchange's attempt at once; the endpoint sees its connection close.
    void cancel(std::uint64_t exchange);

    /// Stops and resumes reading an answer whose caller is slow.
    void pause(std::uint64_t exchange, bool paused);

    /// Closes the idle connections to an endpoint that is gone.
    void forget(const endpoint_id& endpoint);

    void on_ready(std::uint64_t id, bool readable, bool writable, bool broken, absl::Time now);
    void tick(absl::Time now);
    void sweep();

    std::size_t size() const { return m_connections.size(); }
    /// Connections opened since the start.
    std::uint64_t opened() const { return m_next - 1; }

private:
    endpoint_connection* take_idle(const endpoint_id& endpoint, const address& remote,
                                   absl::Time now);
    endpoint_connection* open(const endpoint_request& request, absl::Time now);
    void begin(endpoint_connection& one, endpoint_request request, absl::Time now);
    void flush(endpoint_connection& one, absl::Time now);
    void read_all(endpoint_connection& one, absl::Time now);
    void process(endpoint_connection& one, absl::Time now);
    void finish(endpoint_connection& one, absl::Time now);
    void lose(endpoint_connection& one, const char* reason, absl::Time now);
    void close(endpoint_connection& one);
    void update_interest(endpoint_connection& one);

    poller& m_poller;
    endpoint_listener& m_handler;
    options m_options;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<endpoint_connection>> m_connections;
    absl::flat_hash_map<std::uint64_t, std::uint64_t> m_by_exchange;
    absl::flat_hash_map<endpoint_id, std::vector<std::uint64_t>> m_idle;
    absl::flat_hash_map<endpoint_id, int> m_open;
    std::vector<std::uint64_t> m_dead;
    std::uint64_t m_next = 1;
};

} // namespace chivedeal::forward

#endif
