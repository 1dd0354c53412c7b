#include "chivedeal/requests/router.hpp"

#include "chivedeal/control/sample_sink.hpp"
#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/metrics.hpp"
#include "chivedeal/core/random_id.hpp"
#include "chivedeal/membership/gossip_port.hpp"
#include "chivedeal/requests/answer_sink.hpp"
#include "chivedeal/requests/route_policy.hpp"
#include "chivedeal/state/record_sink.hpp"

#include <utility>

namespace chivedeal::requests {

namespace {

// Limits how late a deadline or a delayed retry is handled when no other event arrives.
constexpr absl::Duration tick_interval = absl::Milliseconds(50);

// Gossip is sent once per second; demand published more often would be overwritten before it is
// sent.
constexpr absl::Duration demand_interval = absl::Seconds(1);

// Releases and results that wait for space in the appender's ring. If a record is dropped, requests
// with its key are answered with `unknown`, which is safe.
constexpr std::size_t max_unsent_records = 1000;

router::options with_random_incarnation(router::options wiring)
{
    if (!wiring.flow.incarnation.empty())
        return wiring;
    wiring.flow.incarnation = random_id();
    return wiring;
}

connection_number connection_of(const flow_event& event)
{
    if (const auto* arrived = std::get_if<request_arrived>(&event))
        return arrived->connection;
    if (const auto* resumed = std::get_if<request_resumed>(&event))
        return resumed->connection;
    return 0;
}

} // namespace

router::router(options wiring)
    : m_options(with_random_incarnation(std::move(wiring))), m_flow(m_options.flow)
{}

router::~router()
{
    // Closing the sinks tells callers that their requests can no longer be finished.
    for (auto& [connection, reply] : m_replies)
        reply->close();
}

void router::run()
{
    absl::Time next_tick = m_options.time.now() + tick_interval;
    while (true) {
        auto message = m_options.inbox.pop(next_tick - m_options.time.now());
        if (!message && m_options.inbox.closed())
            return;
        if (message)
            handle(*std::move(message));
        const absl::Time now = m_options.time.now();
        if (now < next_tick)
            continue;
        next_tick = now + tick_interval;
        process(tick{});
        retry_unsent_records();
        publish_demand(now);
    }
}

void router::request_stop() { m_options.inbox.close(); }

void router::handle(router_message message)
{
    if (message.reply)
        m_replies[connection_of(message.event)] = std::move(message.reply);
    process(std::move(message.event));
}

void router::process(flow_event event)
{
    m_pending_events.push_back(std::move(event));
    while (!m_pending_events.empty()) {
        const flow_event next = std::move(m_pending_events.front());
        m_pending_events.pop_front();
        for (const flow_command& command : m_flow.handle(next, m_options.time.now()))
            std::visit([this](const auto& value) { execute(value); }, command);
    }
}

void router::execute(const attempt_start& command)
{
    if (m_options.attempts.try_push(command))
        return;
    m_pending_events.emplace_back(attempt_event{
        .request = command.request,
        .attempt = command.attempt,
        .body =
            attempt_failed{.reason = {.code = result_code::endpoint_not_started,
                                      .message = "the queue of the endpoint workers is full"}}});
}

void router::execute(const cancel_attempt& command)
{
    // If the ring is full, the attempt continues and its events are dropped as stale.
    (void)m_options.endpoint_commands.try_push(command);
}

void router::execute(const send_answer& command)
{
    const auto reply = m_replies.find(command.connection);
    if (reply == m_replies.end())
        return;
    const bool accepted = reply->second->try_push(command.event);
    const bool is_last = !std::holds_alternative<answer_token>(command.event);
    if (accepted && !is_last)
        return;
    close_reply(command.connection);
    // A caller that reads too slowly is disconnected instead of delaying others; it can resume by
    // request ID.
    if (!accepted)
        m_pending_events.emplace_back(
            caller_disconnected{.request = command.request, .connection = command.connection});
}

void router::execute(const drop_connection& command) { close_reply(command.connection); }

void router::execute(const move_kv& command)
{
    if (!m_options.endpoint_commands.try_push(command))
        m_pending_events.emplace_back(kv_moved{.request = command.request,
                                               .attempt = command.attempt,
                                               .target = command.target,
                                               .handle = {}});
}

void router::execute(const append_record& command)
{
    status appended =
        error{.code = result_code::log_unavailable, .message = "no log is configured"};
    if (m_options.records != nullptr)
        appended = m_options.records->append(command.entry);
    if (is_ok(appended))
        return;
    if (const auto* claimed = std::get_if<state::claim>(&command.entry.body))
        m_pending_events.emplace_back(
            claim_refused{.key = claimed->key, .reason = get_error(appended)});
    else if (m_options.records != nullptr && m_unsent_records.size() < max_unsent_records)
        m_unsent_records.push_back(command);
}

void router::retry_unsent_records()
{
    for (auto remaining = m_unsent_records.size(); remaining > 0; --remaining) {
        const append_record next = std::move(m_unsent_records.front());
        m_unsent_records.pop_front();
        execute(next);
    }
}

void router::execute(const hand_off_stream& command)
{
    if (m_options.stream_hand_offs == nullptr || !m_options.stream_hand_offs->try_push(command))
        m_pending_events.emplace_back(hand_off_answered{
            .request = command.stream.request, .peer = command.peer_http, .accepted = false});
}

void router::execute(const add_sample& command)
{
    if (m_options.samples != nullptr)
        m_options.samples->add_sample(command.sample);
}

void router::execute(const announce_leaving& /*command*/)
{
    if (m_options.gossip != nullptr)
        m_options.gossip->publish_leaving();
}

void router::execute(const stop_node& /*command*/)
{
    if (m_options.on_drained)
        m_options.on_drained();
}

void router::close_reply(connection_number connection)
{
    const auto reply = m_replies.find(connection);
    if (reply == m_replies.end())
        return;
    reply->second->close();
    m_replies.erase(reply);
}

void router::publish_demand(absl::Time now)
{
    if (now < m_next_demand_at)
        return;
    m_next_demand_at = now + demand_interval;
    if (m_options.flow.counters != nullptr)
        m_options.flow.counters->set("chivedeal_open_requests",
                                     static_cast<double>(m_flow.open_requests()));
    if (m_options.gossip != nullptr)
        m_options.gossip->publish_demand(m_flow.demand(now), m_flow.open_by_workspace());
}

} // namespace chivedeal::requests
