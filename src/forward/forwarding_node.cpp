#include "chivedeal/forward/forwarding_node.hpp"

#include "chivedeal/core/duty.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/log_writer.hpp"
#include "chivedeal/core/metrics.hpp"
#include "chivedeal/core/supervisor.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/era/epoch_register.hpp"
#include "chivedeal/forward/config_watcher.hpp"
#include "chivedeal/forward/control_duties.hpp"
#include "chivedeal/forward/endpoint_watcher.hpp"
#include "chivedeal/forward/event_queue.hpp"
#include "chivedeal/forward/forwarder.hpp"
#include "chivedeal/forward/peer_exchange.hpp"

#include <exception>
#include <utility>
#include <vector>

namespace chivedeal::forward {

namespace {

constexpr std::size_t event_queue_capacity = 4096;

/// Runs a duty that is a member of the node, so that other duties can hold references to it.
class duty_ref : public duty
{
public:
    explicit duty_ref(duty& target) : m_target(target) {}

    std::string name() const override { return m_target.name(); }
    void run() override { m_target.run(); }
    void request_stop() override { m_target.request_stop(); }

private:
    duty& m_target;
};

child_spec make_spec(duty& target)
{
    return {.name = target.name(),
            .make = [&target] { return std::make_unique<duty_ref>(target); }};
}

} // namespace

class forwarding_node::impl
{
public:
    explicit impl(options parts);

    void run();
    void request_drain();
    void request_stop() { m_root.request_stop(); }

private:
    void log_stop(const char* reason);

    const node_settings m_settings;
    const header_names m_names;
    const std::unique_ptr<wire_format> m_format;
    const std::unique_ptr<record_store> m_config_store;
    const std::unique_ptr<record_store> m_endpoint_store;
    const std::unique_ptr<record_store> m_control_store;
    const std::unique_ptr<duty_api> m_platform;
    const system_clock m_clock;
    metrics m_metrics;
    era::epoch_register m_epochs;
    log_writer m_log;
    event_queue m_forwarder_queue;
    event_queue m_control_queue;
    peer_exchange m_peers;
    forwarder m_forwarder;
    control_duties m_control;
    config_watcher m_config;
    endpoint_watcher m_endpoints;
    supervisor m_root;
};

forwarding_node::impl::impl(options parts)
    : m_settings(std::move(parts.settings)),
      m_names(std::move(parts.names)),
      m_format(std::move(parts.format)),
      m_config_store(parts.make_store()),
      m_endpoint_store(parts.make_store()),
      m_control_store(parts.make_store()),
      m_platform(std::move(parts.platform)),
      m_log({}),
      m_forwarder_queue(event_queue_capacity),
      m_control_queue(event_queue_capacity),
      m_peers({.settings = m_settings,
               .time = m_clock,
               .listeners = {&m_forwarder_queue, &m_control_queue},
               .prompt_listener = m_forwarder_queue,
               .epochs = &m_epochs}),
      m_forwarder({.settings = m_settings,
                   .names = m_names,
                   .format = *m_format,
                   .time = m_clock,
                   .counters = m_metrics,
                   .queue = m_forwarder_queue,
                   .control = m_control_queue,
                   .peers = m_peers,
                   .on_drained = [this] { request_stop(); }}),
      m_control({.settings = m_settings,
                 .time = m_clock,
                 .store = *m_control_store,
                 .platform = *m_platform,
                 .format = *m_format,
                 .queue = m_control_queue,
                 .forwarder = m_forwarder_queue,
                 .peers = m_peers,
                 .epochs = &m_epochs,
                 .counters = &m_metrics}),
      m_config({.self = m_settings.node,
                .store = *m_config_store,
                .format = *m_format,
                .time = m_clock,
                .peers = m_peers,
                .listeners = {&m_forwarder_queue, &m_control_queue},
                .pace = read_pace_for(m_settings.config_deadline),
                .epochs = &m_epochs}),
      m_endpoints({.self = m_settings.node,
                   .store = *m_endpoint_store,
                   .format = *m_format,
                   .time = m_clock,
                   .peers = m_peers,
                   .listeners = {&m_forwarder_queue, &m_control_queue},
                   .epochs = &m_epochs}),
      // The duties share rings and sockets, so none can be restarted alone: a failure ends the
      // process, and the platform restarts it.
      m_root({.name = "forwarding_node", .max_restarts = 0},
             {make_spec(m_log), make_spec(m_peers), make_spec(m_forwarder), make_spec(m_control),
              make_spec(m_config), make_spec(m_endpoints)})
{
    m_peers.subscribe(topic::configuration, m_config);
    m_peers.subscribe(topic::endpoints, m_endpoints);
}

void forwarding_node::impl::run()
{
    m_log.install();
    log_event(event_id::node_started, {{"node", m_settings.node.str()},
                                       {"region", m_settings.region.str()},
                                       {"zone", m_settings.zone.str()},
                                       {"address", to_string(m_settings.front)}});
    try {
        m_root.run();
    }
    catch (const std::exception& fault) {
        log_stop(fault.what());
        throw;
    }
    log_stop("asked");
}

// The thread that writes log lines has ended with the other duties.
void forwarding_node::impl::log_stop(const char* reason)
{
    m_log.uninstall();
    log_event(event_id::node_stopped, {{"node", m_settings.node.str()}, {"reason", reason}});
}

void forwarding_node::impl::request_drain()
{
    m_forwarder_queue.on_event({node_event::drain_requested{}});
    m_control_queue.on_event({node_event::drain_requested{}});
}

forwarding_node::forwarding_node(options parts) : m_impl(std::make_unique<impl>(std::move(parts)))
{}

forwarding_node::~forwarding_node() = default;

void forwarding_node::run() { m_impl->run(); }

void forwarding_node::request_drain() { m_impl->request_drain(); }

void forwarding_node::request_stop() { m_impl->request_stop(); }

} // namespace chivedeal::forward
