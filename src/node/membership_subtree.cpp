#include "chivedeal/node/membership_subtree.hpp"

#include "chivedeal/core/settings.hpp"
#include "chivedeal/core/supervisor.hpp"
#include "chivedeal/guard/connection_limits.hpp"
#include "chivedeal/guard/machine_limits.hpp"
#include "chivedeal/membership/gossip.hpp"
#include "chivedeal/membership/instance_watcher.hpp"
#include "chivedeal/membership/peer_server.hpp"

#include <xxhash.h>

#include <memory>

namespace chivedeal {

namespace {

// The largest calls hand over the request of a caller.
constexpr std::size_t max_unanswered_requests = 4;

membership::incoming_connections::options incoming_limits(const settings& config)
{
    const guard::connection_limits limits =
        guard::divide_instance(guard::within_machine({.max_descriptors = config.max_descriptors}));
    return {.max_connections = limits.max_endpoint_connections,
            .max_unanswered_bytes = max_unanswered_requests * config.max_request_bytes};
}

membership::gossip_options decisions_of(const settings& config)
{
    membership::gossip_options options;
    options.self = {.id = config.node,
                    .http = config.http,
                    .rpc = config.rpc,
                    .region = config.region,
                    .zone = config.zone};
    options.seeds = config.seeds;
    // Nodes must not choose the same peers in the same order.
    options.random_seed = XXH64(config.node.str().data(), config.node.str().size(), 0);
    options.interval = config.gossip_interval;
    return options;
}

} // namespace

membership_subtree::membership_subtree(const settings& config, const clock& time,
                                       control_traffic& traffic)
    : m_config(config),
      m_clock(time),
      m_traffic(traffic),
      m_inbox(time),
      m_peers(m_link),
      m_instances({.platform = config.platform, .time = time, .traffic = &traffic})
{}

child_spec membership_subtree::make_spec(wires links)
{
    return {.name = "membership", .make = [this, links] {
                return std::make_unique<supervisor>(supervisor_options{.name = "membership"},
                                                    make_children(links));
            }};
}

std::vector<child_spec> membership_subtree::make_children(const wires& links)
{
    return {{.name = "peer_server",
             .make =
                 [this, links] {
                     return std::make_unique<membership::peer_server>(
                         membership::peer_server::options{.listen = m_config.rpc,
                                                          .link = m_link,
                                                          .handler = links.handler,
                                                          .inbox = m_inbox.ring(),
                                                          .incoming = incoming_limits(m_config),
                                                          .traffic = &m_traffic});
                 }},
            {.name = "gossip",
             .make =
                 [this, links] {
                     return std::make_unique<membership::gossip>(
                         membership::gossip::options{.decisions = decisions_of(m_config),
                                                     .time = m_clock,
                                                     .inbox = m_inbox,
                                                     .transport = m_peers,
                                                     .listeners = links.listeners});
                 }},
            {.name = "instance_watcher", .make = [this] {
                 return std::make_unique<membership::instance_watcher>(
                     membership::instance_watcher::options{.source = m_instances,
                                                           .inbox = m_inbox,
                                                           .interval = m_config.instance_poll});
             }}};
}

} // namespace chivedeal
