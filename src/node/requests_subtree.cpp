#include "chivedeal/node/requests_subtree.hpp"

#include "chivedeal/core/settings.hpp"
#include "chivedeal/core/supervisor.hpp"
#include "chivedeal/guard/connection_limits.hpp"
#include "chivedeal/guard/machine_limits.hpp"
#include "chivedeal/requests/affinity_policy.hpp"
#include "chivedeal/requests/caller_server.hpp"
#include "chivedeal/requests/endpoint_call_worker.hpp"
#include "chivedeal/requests/endpoint_worker.hpp"
#include "chivedeal/requests/hand_off_worker.hpp"
#include "chivedeal/requests/route_worker.hpp"
#include "chivedeal/requests/router.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace chivedeal {

namespace {

// Room for the tokens of all streams while the router logs one decision.
constexpr std::size_t router_capacity = 8192;
constexpr std::size_t order_capacity = 1024;
constexpr std::size_t hand_off_capacity = 1024;
constexpr std::size_t route_job_capacity = 64;
// A worker waits while an operator's change is read back.
constexpr std::size_t route_workers = 8;
// The body of an open request is in the request, its attempt, the request to the endpoint, and for
// a moment once more as that is written.
constexpr std::size_t copies_of_body = 4;

// A body of the largest size is admitted on the smallest instance.
constexpr std::size_t min_largest_bodies = 2;

// Half of the memory for buffers goes to open requests.
guard::connection_limits caller_limits(const settings& config)
{
    constexpr std::size_t bytes_per_mb = 1024 * 1024;
    guard::connection_limits limits = guard::divide_instance(
        guard::within_machine({.memory_bytes = config.memory_mb * bytes_per_mb,
                               .max_descriptors = config.max_descriptors}));
    limits.buffer_bytes /= 2;
    return limits;
}

} // namespace

requests_subtree::requests_subtree(const settings& config, const clock& time, metrics& counters,
                                   control_traffic& traffic)
    : m_config(config),
      m_clock(time),
      m_metrics(counters),
      m_traffic(traffic),
      m_client(time),
      m_inbox(router_capacity),
      m_attempts(config.max_streams),
      m_orders(order_capacity),
      m_hand_offs(hand_off_capacity),
      m_route_jobs(route_job_capacity),
      m_port(m_inbox)
{}

child_spec requests_subtree::make_spec(wires links)
{
    return {.name = "requests", .make = [this, links] {
                return std::make_unique<supervisor>(supervisor_options{.name = "requests"},
                                                    make_children(links));
            }};
}

// The router comes last, so that it stops first: its callers' rings then close, and the listener
// can end.
std::vector<child_spec> requests_subtree::make_children(const wires& links)
{
    std::vector<child_spec> children;
    children.push_back(
        {.name = "load_watcher", .make = [this, links] {
             return std::make_unique<requests::load_watcher>(
                 requests::load_watcher::options{.time = m_clock,
                                                 .views = m_load_views.ring(),
                                                 .router_inbox = m_inbox,
                                                 .schedule = {.interval = m_config.load_poll},
                                                 .load_sink = &links.loads,
                                                 .traffic = &m_traffic});
         }});
    children.push_back(
        {.name = "endpoint_calls", .make = [this] {
             return std::make_unique<requests::endpoint_call_worker>(
                 requests::endpoint_call_worker::options{
                     .client = m_client, .endpoint_commands = m_orders, .router_inbox = m_inbox});
         }});
    children.push_back(
        {.name = "hand_off_worker", .make = [this, links] {
             return std::make_unique<requests::hand_off_worker>(requests::hand_off_worker::options{
                 .peers = links.peers, .streams = m_hand_offs, .router_inbox = m_inbox});
         }});
    for (std::size_t i = 0; i < m_config.endpoint_workers; ++i)
        children.push_back(worker_spec());
    for (std::size_t i = 0; i < route_workers; ++i)
        children.push_back(route_worker_spec(links));
    children.push_back(server_spec());
    children.push_back(router_spec(links));
    return children;
}

child_spec requests_subtree::worker_spec()
{
    return {.name = "endpoint_worker", .make = [this] {
                return std::make_unique<requests::endpoint_worker>(
                    requests::endpoint_worker::options{
                        .client = m_client, .attempts = m_attempts, .router_inbox = m_inbox});
            }};
}

child_spec requests_subtree::route_worker_spec(const wires& links)
{
    return {.name = "route_worker", .make = [this, links] {
                return std::make_unique<requests::route_worker>(requests::route_worker::options{
                    .jobs = m_route_jobs, .handlers = links.handlers});
            }};
}

child_spec requests_subtree::server_spec()
{
    return {.name = "caller_server", .make = [this] {
                return std::make_unique<requests::caller_server>(requests::caller_server::options{
                    .listen = m_config.http,
                    .time = m_clock,
                    .router_inbox = m_inbox,
                    .route_jobs = m_route_jobs,
                    .max_request_bytes = m_config.max_request_bytes,
                    .limits = caller_limits(m_config),
                    .counters = &m_metrics});
            }};
}

child_spec requests_subtree::router_spec(const wires& links)
{
    return {
        .name = "router", .make = [this, links] {
            auto policy =
                std::make_shared<requests::affinity_policy>(requests::affinity_policy::options{
                    .own_region = m_config.region, .own_zone = m_config.zone});
            requests::request_flow::options flow{
                .policy = *policy, .node = m_config.node, .incarnation = {}};
            flow.counters = &m_metrics;
            flow.claim_timeout = m_config.claim_timeout;
            flow.retries.ratio = m_config.retry_ratio;
            flow.limits.gossip_round = m_config.gossip_interval;
            flow.drain = {.address_ttl = m_config.address_ttl, .drain_grace = m_config.drain_grace};
            flow.shedding.max_open = static_cast<int>(m_config.max_streams);
            flow.bodies.max_bytes = std::max(caller_limits(m_config).buffer_bytes / copies_of_body,
                                             min_largest_bodies * m_config.max_request_bytes);
            return std::make_unique<requests::router>(
                requests::router::options{.time = m_clock,
                                          .policy = std::move(policy),
                                          .flow = std::move(flow),
                                          .inbox = m_inbox,
                                          .attempts = m_attempts,
                                          .endpoint_commands = m_orders,
                                          .stream_hand_offs = &m_hand_offs,
                                          .records = &links.records,
                                          .samples = &links.samples,
                                          .gossip = &links.gossip,
                                          .on_drained = links.on_drained});
        }};
}

} // namespace chivedeal
