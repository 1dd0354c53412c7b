#include "chivedeal/control/placement_controller.hpp"

#include "chivedeal/control/cloud_api.hpp"
#include "chivedeal/control/move_feed.hpp"
#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/membership/gossip_port.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include "absl/strings/str_cat.h"

#include <memory>
#include <utility>

namespace chivedeal::control {

namespace {

// Instances take tens of seconds to start, so a shorter interval has no benefit.
constexpr absl::Duration evaluation_interval = absl::Milliseconds(500);
constexpr absl::Duration price_refresh_interval = absl::Seconds(30);
constexpr absl::Duration price_retry_interval = absl::Seconds(1);
// Longer than the calls that may block the order sender. A request that has not been taken by then
// was lost in a restart of the sender.
constexpr absl::Duration start_request_timeout = absl::Minutes(1);

std::string to_text(const instance_pool& pool)
{
    return absl::StrCat(pool.zone.str(), "/", pool.machine_class, "/",
                        pool.reclaimable ? "reclaimable" : "on_demand");
}

std::string format_offers(const placement_snapshot& snapshot)
{
    std::string out;
    for (const pool_offer& offer : snapshot.offers)
        absl::StrAppend(&out, out.empty() ? "" : ",", to_text(offer.pool), "=", offer.hourly_price);
    return out;
}

} // namespace

placement_controller::placement_controller(options wiring)
    : m_options(std::move(wiring)),
      m_planner(m_options.planner),
      m_start_requests_pushed(m_options.orders.load()->start_requests_taken +
                              m_options.order_requests.size())
{}

void placement_controller::run()
{
    absl::Time next_evaluation = m_options.time.now();
    while (true) {
        const auto event = m_options.inbox.pop(next_evaluation - m_options.time.now());
        if (!event && m_options.inbox.closed())
            return;
        if (event)
            m_planner.handle(*event, m_options.time.now());
        if (m_options.time.now() < next_evaluation)
            continue;
        evaluate();
        next_evaluation = m_options.time.now() + evaluation_interval;
    }
}

void placement_controller::request_stop() { m_options.inbox.close(); }

void placement_controller::evaluate()
{
    // Must precede the events: the sender reports a refusal before the start leaves the open
    // orders.
    const auto orders = m_options.orders.load();
    for (std::size_t remaining = m_options.inbox.size(); remaining > 0; --remaining)
        if (const auto event = m_options.inbox.pop(absl::ZeroDuration()))
            m_planner.handle(*event, m_options.time.now());
    placement_planner::input inputs{.state = m_options.feed.state(),
                                    .view = m_options.feed.view(),
                                    .prices = {},
                                    .orders = orders};
    m_planner.observe(*inputs.view, m_options.time.now());
    const auto lease = m_options.held_leases.load()->find(m_options.scope, m_options.time.now());
    if (!lease || !has_placed_service(*inputs.state) || !is_settled(*lease, *orders))
        return;
    refresh_prices();
    inputs.prices = m_prices;
    const absl::Time now = m_options.time.now();
    const placement_snapshot snapshot = m_planner.build_snapshot(inputs, now);
    for (const placement_command& command : m_planner.decide(inputs, snapshot, now))
        execute(command, snapshot);
}

// Waits until the order sender has processed every request of this tenure and listed the instances;
// otherwise a start could be requested twice.
bool placement_controller::is_settled(const held_lease& lease, const open_orders& orders)
{
    const absl::Time now = m_options.time.now();
    if (orders.start_requests_taken != m_start_requests_pushed &&
        now >= m_last_push + start_request_timeout)
        m_start_requests_pushed = orders.start_requests_taken;
    return orders.grant == lease.first_grant_offset &&
           orders.start_requests_taken == m_start_requests_pushed &&
           orders.list_requested_at >= lease.acquired_at + m_options.instance_list_delay;
}

void placement_controller::refresh_prices()
{
    const absl::Time now = m_options.time.now();
    if (now < m_next_price_refresh)
        return;
    const auto prices = m_options.cloud.prices();
    if (is_ok(prices))
        m_prices = get_value(prices);
    m_next_price_refresh =
        now + (is_ok(prices) && !m_prices.empty() ? price_refresh_interval : price_retry_interval);
}

void placement_controller::execute(const placement_command& command,
                                   const placement_snapshot& snapshot)
{
    // The lease may have expired if the thread was paused after the decision.
    if (!m_options.held_leases.load()->find(m_options.scope, m_options.time.now()))
        return;
    log_decision(command, snapshot);
    if (const auto* start = std::get_if<start_instance>(&command))
        push(start_requested{
            .pool = start->pool, .service = start->service, .version = start->version});
    if (const auto* drain = std::get_if<drain_instance>(&command))
        m_options.gossip.publish_fact(
            membership::endpoint_leaving{.endpoint = endpoint_id(drain->instance.str())});
    if (const auto* stop = std::get_if<stop_instance>(&command))
        push(stop_requested{.instance = stop->instance, .drain_confirmed = true});
}

void placement_controller::log_decision(const placement_command& command,
                                        const placement_snapshot& snapshot)
{
    if (const auto* start = std::get_if<start_instance>(&command))
        log_event(event_id::placement_decided, {{"decision", "start"},
                                                {"service", start->service.str()},
                                                {"version", start->version.str()},
                                                {"pool", to_text(start->pool)},
                                                {"reason", start->reason},
                                                {"weighed", format_offers(snapshot)}});
    if (const auto* drain = std::get_if<drain_instance>(&command))
        log_event(event_id::placement_decided, {{"decision", "drain"},
                                                {"instance", drain->instance.str()},
                                                {"reason", drain->reason},
                                                {"weighed", format_offers(snapshot)}});
    const auto* stop = std::get_if<stop_instance>(&command);
    if (stop != nullptr && m_logged_stops.insert(stop->instance).second)
        log_event(event_id::placement_decided, {{"decision", "stop"},
                                                {"instance", stop->instance.str()},
                                                {"reason", "drain confirmed"},
                                                {"weighed", "none"}});
}

// A request that does not fit into the ring is dropped; a later evaluation issues it again.
void placement_controller::push(const order_event& request)
{
    if (!m_options.order_requests.try_push(request) ||
        !std::holds_alternative<start_requested>(request))
        return;
    ++m_start_requests_pushed;
    m_last_push = m_options.time.now();
}

} // namespace chivedeal::control
