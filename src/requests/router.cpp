#include "chivedeal/requests/router.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/requests/route_policy.hpp"

#include <utility>

namespace chivedeal::requests {

namespace {

// Bounds how late a deadline or a delayed retry is noticed when nothing else happens.
constexpr absl::Duration tick_interval = absl::Milliseconds(50);

} // namespace

router::router(options wiring) : m_options(std::move(wiring)), m_flow(*m_options.policy) {}

router::~router()
{
    // Callers whose request the router can no longer finish see their ring closed.
    for (auto& [request, reply] : m_replies)
        reply->close();
}

void router::run()
{
    absl::Time next_tick = m_options.time.now() + tick_interval;
    while (true) {
        auto message = m_options.inbox.pop(next_tick - m_options.time.now());
        if (!message && m_options.inbox.closed())
            return;
        const absl::Time now = m_options.time.now();
        if (message) {
            if (message->reply)
                m_replies[std::get<request_arrived>(message->event).request.id] = message->reply;
            for (const flow_command& command : m_flow.handle(message->event, now))
                execute(command);
        }
        if (now < next_tick)
            continue;
        next_tick = now + tick_interval;
        for (const flow_command& command : m_flow.handle(tick{}, now))
            execute(command);
    }
}

void router::request_stop() { m_options.inbox.close(); }

void router::execute(const flow_command& command)
{
    if (const auto* start = std::get_if<attempt_start>(&command)) {
        if (!m_options.attempts.try_push(*start))
            (void)m_options.inbox.try_push(
                {.event =
                     attempt_event{
                         .request = start->request,
                         .attempt = start->attempt,
                         .body =
                             attempt_failed{.reason = {.code = result_code::endpoint_not_started,
                                                       .message = "no endpoint worker is free"}}},
                 .reply = nullptr});
        return;
    }
    const auto* answer = std::get_if<send_answer>(&command);
    if (answer == nullptr)
        return;
    const auto found = m_replies.find(answer->request);
    if (found == m_replies.end())
        return;
    // A caller that reads too slowly loses its connection rather than holding up the others; it
    // resumes by request ID.
    const bool taken = found->second->try_push(answer->event);
    if (taken && std::holds_alternative<answer_token>(answer->event))
        return;
    found->second->close();
    m_replies.erase(found);
}

} // namespace chivedeal::requests
