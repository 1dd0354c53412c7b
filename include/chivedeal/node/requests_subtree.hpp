#ifndef CHIVEDEAL_NODE_REQUESTS_SUBTREE_HPP
#define CHIVEDEAL_NODE_REQUESTS_SUBTREE_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/child_spec.hpp"
#include "chivedeal/core/metrics.hpp"
#include "chivedeal/requests/attempt_start.hpp"
#include "chivedeal/requests/endpoint_command.hpp"
#include "chivedeal/requests/flow_command.hpp"
#include "chivedeal/requests/http_endpoint_client.hpp"
#include "chivedeal/requests/load_watcher.hpp"
#include "chivedeal/requests/route_job.hpp"
#include "chivedeal/requests/router_message.hpp"
#include "chivedeal/requests/router_port.hpp"

#include <functional>
#include <vector>

namespace chivedeal::control {
class load_sink;
class sample_sink;
} // namespace chivedeal::control

namespace chivedeal::membership {
class gossip_port;
class peer_client;
} // namespace chivedeal::membership

namespace chivedeal::requests {
class route_handler;
}

namespace chivedeal::state {
class record_sink;
}

namespace chivedeal {

class clock;
class control_traffic;
struct settings;

/// Rings and cells of the supervisor `requests`; they outlive restarts of its threads.
class requests_subtree
{
public:
    struct wires
    {
        state::record_sink& records;
        control::sample_sink& samples;
        control::load_sink& loads;
        membership::gossip_port& gossip;
        membership::peer_client& peers;
        /// Further routes on the callers' listener.
        std::vector<const requests::route_handler*> handlers;
        std::function<void()> on_drained;
    };

    requests_subtree(const settings& config, const clock& time, metrics& counters,
                     control_traffic& traffic);

    child_spec make_spec(wires links);

    requests::router_port& port() { return m_port; }
    membership::membership_listener& load_view_listener() { return m_load_views; }

private:
    // Passes views to the load watcher; a full ring drops one, the next comes within a second.
    class view_forwarder : public membership::membership_listener
    {
    public:
        void on_view(std::shared_ptr<const membership::membership_view> view) override
        {
            (void)m_ring.try_push(std::move(view));
        }

        requests::load_watcher::view_ring& ring() { return m_ring; }

    private:
        requests::load_watcher::view_ring m_ring{8};
    };

    std::vector<child_spec> make_children(const wires& links);
    child_spec router_spec(const wires& links);
    child_spec server_spec();
    child_spec worker_spec();
    child_spec route_worker_spec(const wires& links);

    const settings& m_config;
    const clock& m_clock;
    metrics& m_metrics;
    control_traffic& m_traffic;
    requests::http_endpoint_client m_client;
    bounded_ring<requests::router_message> m_inbox;
    bounded_ring<requests::attempt_start> m_attempts;
    bounded_ring<requests::endpoint_command> m_orders;
    bounded_ring<requests::hand_off_stream> m_hand_offs;
    bounded_ring<requests::route_job> m_route_jobs;
    requests::router_port m_port;
    view_forwarder m_load_views;
};

} // namespace chivedeal

#endif
