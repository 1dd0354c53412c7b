#include "chivedeal/node/node.hpp"

#include "chivedeal/core/control_traffic.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/metrics.hpp"
#include "chivedeal/core/supervisor.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/node/control_subtree.hpp"
#include "chivedeal/node/membership_subtree.hpp"
#include "chivedeal/node/peer_service.hpp"
#include "chivedeal/node/requests_subtree.hpp"
#include "chivedeal/node/state_announcer.hpp"
#include "chivedeal/node/state_subtree.hpp"
#include "chivedeal/node/view_publisher.hpp"
#include "chivedeal/operators/operator_routes.hpp"
#include "chivedeal/requests/address_route.hpp"

#include <utility>

namespace chivedeal {

class node::impl
{
public:
    explicit impl(settings config);

    void run();
    void request_stop();
    void request_drain();

private:
    std::vector<child_spec> make_subtrees();

    const settings m_config;
    const system_clock m_clock;
    metrics m_metrics;
    control_traffic m_traffic;
    state_subtree m_state;
    membership_subtree m_membership;
    control_subtree m_control;
    requests_subtree m_requests;
    peer_service m_peer_service;
    state_announcer m_announcer;
    view_publisher m_view;
    requests::address_route m_addresses;
    operators::operator_routes m_operators;
    supervisor m_root;
};

node::impl::impl(settings config)
    : m_config(std::move(config)),
      m_traffic(m_metrics),
      m_state(m_config, m_clock, m_traffic),
      m_membership(m_config, m_clock, m_traffic),
      m_control(m_config, m_clock),
      m_requests(m_config, m_clock, m_metrics, m_traffic),
      m_peer_service(m_state.published(), m_requests.port()),
      m_announcer(m_state.published(), m_membership.gossip()),
      m_addresses({.view = m_view.cell(), .region = m_config.region, .ttl = m_config.address_ttl}),
      m_operators({.config = m_config,
                   .published = m_state.published(),
                   .view = m_view.cell(),
                   .records = m_state.records(),
                   .changes = m_state.changes(),
                   .counters = m_metrics,
                   .request_drain = [this] { request_drain(); }}),
      // A subtree that gives up ends the process: other subtrees hold its rings.
      m_root({.name = "node", .max_restarts = 0}, make_subtrees())
{}

std::vector<child_spec> node::impl::make_subtrees()
{
    return {
        m_state.make_spec({.listeners = {&m_announcer, &m_requests.port(), &m_control.leases(),
                                         &m_control.moves()},
                           .peers = &m_membership.peers()}),
        m_membership.make_spec({.listeners = {&m_view, &m_state.view_listener(), &m_requests.port(),
                                              &m_requests.load_view_listener(), &m_control.moves()},
                                .handler = m_peer_service}),
        m_control.make_spec({.records = m_state.records(), .gossip = m_membership.gossip()}),
        m_requests.make_spec({.records = m_state.records(),
                              .samples = m_control.moves(),
                              .loads = m_control.loads(),
                              .gossip = m_membership.gossip(),
                              .peers = m_membership.peers(),
                              .handlers = {&m_addresses, &m_operators},
                              .on_drained = [this] { request_stop(); }})};
}

void node::impl::run()
{
    log_event(event_id::node_started, {{"node", m_config.node.str()},
                                       {"region", m_config.region.str()},
                                       {"zone", m_config.zone.str()},
                                       {"address", to_string(m_config.http)}});
    m_root.run();
}

void node::impl::request_stop()
{
    m_state.stop_log();
    m_root.request_stop();
}

void node::impl::request_drain()
{
    m_control.release_leases();
    m_requests.port().request_drain();
}

node::node(settings config) : m_impl(std::make_unique<impl>(std::move(config))) {}

node::~node() = default;

void node::run() { m_impl->run(); }

void node::request_stop() { m_impl->request_stop(); }

void node::request_drain() { m_impl->request_drain(); }

} // namespace chivedeal
