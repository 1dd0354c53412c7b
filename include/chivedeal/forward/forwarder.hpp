#ifndef CHIVEDEAL_FORWARD_FORWARDER_HPP
#define CHIVEDEAL_FORWARD_FORWARDER_HPP

#include "chivedeal/core/duty.hpp"
#include "chivedeal/forward/address_book.hpp"
#include "chivedeal/forward/caller_listener.hpp"
#include "chivedeal/forward/caller_side.hpp"
#include "chivedeal/forward/endpoint_pool.hpp"
#include "chivedeal/forward/endpoint_side.hpp"
#include "chivedeal/forward/event_inbox.hpp"
#include "chivedeal/forward/header_names.hpp"
#include "chivedeal/forward/node_event.hpp"
#include "chivedeal/forward/node_settings.hpp"
#include "chivedeal/forward/poller.hpp"
#include "chivedeal/forward/request_runner.hpp"

#include "absl/time/time.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chivedeal {
class clock;
class metrics;
} // namespace chivedeal

namespace chivedeal::forward {

class peer_exchange;
class wire_format;

/// Duty: all sockets towards callers and endpoints.
class forwarder : public duty, private caller_listener
{
public:
    struct options
    {
        const node_settings& settings;
        const header_names& names;
        const wire_format& format;
        const clock& time;
        metrics& counters;
        event_inbox& inbox;
        /// Gets what this node counts.
        node_event_listener& control;
        peer_exchange& peers;
        /// Called when a drain is complete.
        std::function<void()> on_drained;
    };

    explicit forwarder(options parts);
    ~forwarder() override;

    std::string name() const override { return "forwarder"; }
    /// Throws when an address can't be bound.
    void run() override;
    void request_stop() override;

private:
    // Listeners, as the caller side names them.
    enum listener : int
    {
        front,
        ready,
        directory,
        metrics_page,
    };

    void on_request(std::uint64_t connection, int listener, http_request request,
                    absl::Time started, absl::Time now) override;
    void on_caller_left(std::uint64_t connection, absl::Time now) override;
    void on_caller_writable(std::uint64_t connection) override;

    void open(const address& at, listener kind);
    void dispatch(const poller::ready& one, absl::Time now);
    void take_events(absl::Time now);
    void take(const node_event& event, absl::Time now);
    void take_peer(const node_event::peer_heard& heard, absl::Time now);
    void periodic(absl::Time now);
    local_state local(absl::Time now) const;
    void count(const local_state& state, absl::Time now);
    void advance_drain(absl::Time now);
    bool is_ready() const;
    void answer_directory(std::uint64_t connection, const std::string& target, absl::Time now);
    void answer_text(std::uint64_t connection, int status, const std::string& type,
                     const std::string& body, absl::Time now);

    const node_settings& m_settings;
    const wire_format& m_format;
    const clock& m_time;
    metrics& m_counters;
    event_inbox& m_inbox;
    node_event_listener& m_control;
    peer_exchange& m_peers;
    std::function<void()> m_on_drained;

    poller m_poller;
    std::map<int, listener> m_listeners;
    caller_side m_callers;
    endpoint_pool m_pool;
    endpoint_side m_endpoints;
    request_runner m_runner;
    address_book m_book;
    bool m_endpoints_loaded = false;
    absl::Time m_next_periodic = absl::InfinitePast();
    absl::Time m_next_count = absl::InfinitePast();
    absl::Time m_drain_started = absl::InfiniteFuture();
    bool m_drained = false;
};

} // namespace chivedeal::forward

#endif
