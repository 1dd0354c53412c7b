#ifndef CHIVEDEAL_FORWARD_FORWARDER_HPP
#define CHIVEDEAL_FORWARD_FORWARDER_HPP

#include "chivedeal/core/duty.hpp"
#include "chivedeal/forward/address_book.hpp"
#include "chivedeal/forward/caller_listener.hpp"
#include "chivedeal/forward/caller_side.hpp"
#include "chivedeal/forward/endpoint_pool.hpp"
#include "chivedeal/forward/endpoint_side.hpp"
#include "chivedeal/forward/event_queue.hpp"
#include "chivedeal/forward/header_names.hpp"
#include "chivedeal/forward/node_count_estimate.hpp"
#include "chivedeal/forward/node_event.hpp"
#include "chivedeal/forward/node_settings.hpp"
#include "chivedeal/forward/poller.hpp"
#include "chivedeal/forward/request_runner.hpp"
#include "chivedeal/guard/connection_limits.hpp"
#include "chivedeal/guard/shed_counts.hpp"

#include "absl/time/time.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal {
class clock;
class metrics;
} // namespace chivedeal

namespace chivedeal::forward {

class peer_exchange;
class route_index;
class wire_format;

/// Duty that owns all sockets to callers and endpoints and runs their event loop.
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
        event_queue& queue;
        /// Receives the load and request counts of this node.
        node_event_listener& control;
        peer_exchange& peers;
        /// Called when a drain is complete.
        std::function<void()> on_drained;
    };

    explicit forwarder(options dependencies);
    ~forwarder() override;

    std::string name() const override { return "forwarder"; }
    /// Throws if a listening address can't be bound.
    void run() override;
    void request_stop() override;

private:
    // Listening sockets; the values are the listener numbers passed to `caller_side`.
    enum listener : int
    {
        front,
        ready,
        directory,
        metrics_page,
    };

    void on_request(std::uint64_t connection, int listener, http_request request,
                    absl::Time started, absl::Time now) override;
    void on_caller_disconnected(std::uint64_t connection, absl::Time now) override;
    void on_caller_writable(std::uint64_t connection) override;
    void on_release_requested(std::uint64_t connection, absl::Time now) override;
    void on_shed(std::uint64_t connection, absl::Time now) override;
    rejection make_rejection(int status) const override;

    void open_listener(const address& at, listener kind);
    void dispatch(const poller::ready& event, absl::Time now);
    void process_events(absl::Time now);
    void handle_event(const node_event& event, absl::Time now);
    void handle_beacon(const node_event::peer_heard& heard, absl::Time now);
    void record_peer_admissions(const node_event::peer_heard& heard, absl::Time now);
    double recent_share(const node_beacon& beacon, absl::Time now) const;
    void update_node_count(absl::Time now);
    void publish_urgent_suspicions(absl::Time now);
    void run_periodic_tasks(absl::Time now);
    local_state make_local_state(absl::Time now) const;
    void report_local_state(const local_state& state, absl::Time now);
    void report_shed_callers();
    void advance_drain(absl::Time now);
    void end_without_drain(absl::Time now);
    void log_drain_end(absl::Time now) const;
    // From the start of the drain.
    absl::Duration time_for_responses() const;
    // How long callers use an address after it has left the directory.
    absl::Duration max_address_age() const;
    bool is_ready() const;
    void respond_to_directory_request(std::uint64_t connection, const std::string& target,
                                      absl::Time now);
    void respond_with_text(std::uint64_t connection, int status, const std::string& type,
                           const std::string& body, absl::Time now);

    const node_settings& m_settings;
    const wire_format& m_format;
    const clock& m_time;
    metrics& m_counters;
    event_queue& m_event_queue;
    node_event_listener& m_control;
    peer_exchange& m_peers;
    std::function<void()> m_on_drained;

    poller m_poller;
    std::map<int, listener> m_listeners;
    guard::connection_limits m_limits;
    caller_side m_callers;
    endpoint_pool m_pool;
    endpoint_side m_endpoints;
    request_runner m_runner;
    address_book m_address_book;
    // Null until a configuration is in force.
    std::shared_ptr<const route_index> m_index;
    guard::shed_counts m_reported_shed;
    absl::Time m_started_at;
    node_count_estimate m_node_count;
    // Mean time between two beacons of a peer.
    bool m_endpoints_loaded = false;
    absl::Time m_next_periodic_run = absl::InfinitePast();
    absl::Time m_next_report = absl::InfinitePast();
    bool m_has_urgent_suspicions = false;
    absl::Time m_next_urgent_publication = absl::InfinitePast();
    absl::Time m_drain_started_at = absl::InfiniteFuture();
    bool m_drained = false;
    std::size_t m_cut_off_requests = 0;
};

} // namespace chivedeal::forward

#endif
