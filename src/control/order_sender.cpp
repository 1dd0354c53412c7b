#include "chivedeal/control/order_sender.hpp"

#include "chivedeal/control/cloud_api.hpp"
#include "chivedeal/control/engine_api.hpp"
#include "chivedeal/control/move_feed.hpp"
#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/membership/membership_view.hpp"

#include <utility>

namespace chivedeal::control {

namespace {

constexpr absl::Duration tick_interval = absl::Milliseconds(200);
// Shorter than the retry interval of orders, so that most are read back before they are retried.
constexpr absl::Duration read_back_interval = absl::Seconds(1);

} // namespace

order_sender::order_sender(options wiring)
    : m_options(std::move(wiring)),
      m_start_requests_taken(m_options.orders.load()->start_requests_taken)
{}

void order_sender::run()
{
    absl::Time next_tick = m_options.time.now();
    while (true) {
        const auto event = m_options.inbox.pop(next_tick - m_options.time.now());
        if (!event && m_options.inbox.closed())
            return;
        if (event) {
            refresh_tenure();
            handle(*event);
            m_start_requests_taken += std::holds_alternative<start_requested>(*event) ? 1 : 0;
        }
        if (m_options.time.now() < next_tick)
            continue;
        tick();
        next_tick = m_options.time.now() + tick_interval;
    }
}

void order_sender::request_stop() { m_options.inbox.close(); }

void order_sender::tick()
{
    refresh_tenure();
    if (m_book && m_options.time.now() >= m_next_read_back) {
        read_back();
        m_next_read_back = m_options.time.now() + read_back_interval;
    }
    handle(order_tick{});
    publish();
}

void order_sender::publish()
{
    open_orders published{.grant = m_grant,
                          .start_requests_taken = m_start_requests_taken,
                          .list_requested_at = m_list_requested_at};
    if (m_book) {
        published.unlisted_starts = m_book->unlisted_starts();
        published.listed_starts = m_book->listed_starts();
    }
    m_options.orders.store(std::make_shared<const open_orders>(std::move(published)));
}

void order_sender::handle(const order_event& event)
{
    if (!m_book)
        return;
    for (const order_command& command : m_book->handle(event, m_options.time.now()))
        execute(command);
}

void order_sender::refresh_tenure()
{
    const auto lease = m_options.held_leases.load()->find(m_options.scope, m_options.time.now());
    if (!lease) {
        m_book.reset();
        m_grant = 0;
        return;
    }
    if (lease->first_grant_offset == m_grant)
        return;
    m_grant = lease->first_grant_offset;
    m_list_requested_at = absl::InfinitePast();
    m_book.emplace(order_book::options{.lease = *lease,
                                       .endpoints_check_fencing = m_options.endpoints_check_fencing,
                                       .max_order_delay = m_options.max_order_delay});
}

void order_sender::read_back()
{
    const absl::Time requested_at = m_options.time.now();
    const auto listed = m_options.cloud.list();
    if (is_ok(listed)) {
        m_list_requested_at = requested_at;
        handle(get_value(listed));
    }
    const auto view = m_options.feed.view();
    for (const endpoint_id& id : m_book->endpoints_with_orders())
        for (const membership::endpoint& endpoint : view->endpoints) {
            if (endpoint.id != id)
                continue;
            const auto loaded = m_options.engines.loaded(endpoint.listen);
            if (is_ok(loaded))
                handle(loaded_versions_read{.endpoint = id, .versions = get_value(loaded)});
        }
}

void order_sender::execute(const order_command& command)
{
    // The lease may have expired if the thread was paused after the decision.
    const auto lease = m_options.held_leases.load()->find(m_options.scope, m_options.time.now());
    if (!lease || lease->first_grant_offset != m_grant)
        return;
    if (const auto* start = std::get_if<order_start>(&command))
        execute(*start);
    if (const auto* stop = std::get_if<order_stop>(&command))
        execute(*stop);
    if (const auto* load = std::get_if<order_load>(&command))
        execute(*load);
    // Only logged: the lease ends when this node reads the grant of the newer holder.
    if (std::holds_alternative<give_up_tenure>(command))
        log_event(event_id::order_refused, {{"scope", m_options.scope}, {"reason", "stale_fence"}});
}

void order_sender::execute(const order_start& order)
{
    const auto started = m_options.cloud.start(order);
    if (is_ok(started)) {
        log_event(event_id::instance_started, {{"token", to_string(order.token)},
                                               {"instance", get_value(started).str()},
                                               {"zone", order.pool.zone.str()}});
        handle(start_confirmed{.token = order.token, .instance = get_value(started)});
        (void)m_options.placement.try_push(pool_start_succeeded{.pool = order.pool});
    }
    else if (get_error(started).code == result_code::start_refused) {
        log_event(event_id::instance_start_refused,
                  {{"token", to_string(order.token)}, {"zone", order.pool.zone.str()}});
        // Placement must learn of the refusal before the start leaves the open orders; otherwise it
        // would request the same start again.
        (void)m_options.placement.try_push(pool_start_refused{.pool = order.pool});
        handle(start_refused{.token = order.token});
    }
}

void order_sender::execute(const order_stop& order)
{
    if (is_ok(m_options.cloud.stop(order)))
        log_event(event_id::instance_stopped, {{"instance", order.instance.str()}});
}

void order_sender::execute(const order_load& order)
{
    for (const membership::endpoint& endpoint : m_options.feed.view()->endpoints) {
        if (endpoint.id != order.endpoint)
            continue;
        log_event(event_id::order_sent, {{"endpoint", order.endpoint.str()},
                                         {"order", order.loaded ? "load" : "unload"},
                                         {"version", order.version.str()},
                                         {"fence", std::to_string(order.fence)}});
        const status response = m_options.engines.order(endpoint.listen, order);
        if (!is_ok(response) && get_error(response).code == result_code::stale_fence)
            handle(stale_fence_reported{});
    }
}

} // namespace chivedeal::control
