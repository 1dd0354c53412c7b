#include "flow_core.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/core/metrics.hpp"
#include "chivedeal/requests/route_policy.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace chivedeal::requests::detail {

namespace {

// A request with an idempotency key may have been sent before and have run on another node. It must
// not be reported as not run until the log has decided on its key.
outcome refusal_outcome(const caller_request& request)
{
    return request.idempotent() ? outcome::not_run : outcome::unknown;
}

} // namespace

flow_core::flow_core(request_flow::options settings)
    : m_options(std::move(settings)),
      m_answers(m_options.answers),
      m_claims({.node = m_options.node,
                .incarnation = m_options.incarnation,
                .claim_timeout = m_options.claim_timeout}),
      m_budget(m_options.retries),
      m_backoff(m_options.backoff),
      m_admission(m_options.shedding),
      m_bodies(m_options.bodies),
      m_limiter(m_options.limits),
      m_planner(m_options.reclaims),
      m_drain(m_options.drain)
{}

std::vector<flow_command> flow_core::handle(const flow_event& event, absl::Time now)
{
    m_now = now;
    std::visit([this](const auto& alternative) { on_event(alternative); }, event);
    return std::exchange(m_commands, {});
}

void flow_core::on_event(const request_arrived& event)
{
    const caller_request& request = event.request;
    if (request_entry* open = find(request.id)) {
        on_repeated_request(*open, event);
        return;
    }
    if (const auto kept = m_answers.find(request.id);
        kept && kept->request.workspace == request.workspace) {
        replay(*kept, event.connection, 0);
        return;
    }
    if (m_intake_closed) {
        refuse(
            event, refusal_outcome(request),
            {.code = result_code::stopping, .message = "the node is stopping; use another node"});
        return;
    }
    if (answer_known_key(event))
        return;
    if (const status admitted = admit(request); !is_ok(admitted)) {
        refuse(event, refusal_outcome(request), get_error(admitted));
        return;
    }
    auto& entry = m_requests[request.id];
    entry = std::make_unique<request_entry>(request, event.connection, m_now);
    entry->admitted = true;
    claim_or_start(*entry);
}

// Handles a request whose ID is already open. If it is the same request, its answer is sent from
// the start on the new connection.
void flow_core::on_repeated_request(request_entry& entry, const request_arrived& event)
{
    const caller_request& open = entry.request();
    if (open.workspace == event.request.workspace && open.service == event.request.service &&
        open.body == event.request.body && open.idempotency_key == event.request.idempotency_key) {
        on_event(request_resumed{
            .request = open.id, .connection = event.connection, .next_position = 0});
        return;
    }
    // The request with this ID is open and may run, so its ID must not be reported as not run.
    refuse(event, outcome::unknown,
           {.code = result_code::invalid_request,
            .message = "the request ID is in use by a different request; use a new ID"});
}

status flow_core::admit(const caller_request& request)
{
    if (!m_bodies.try_take(request.body.size()))
        return error{.code = result_code::shed,
                     .message = absl::StrCat("the open requests hold ", m_bodies.taken_bytes(),
                                             " bytes; retry later or on another node")};
    const status admitted = admit_by_workspace(request);
    if (!is_ok(admitted))
        m_bodies.give_back(request.body.size());
    return admitted;
}

status flow_core::admit_by_workspace(const caller_request& request)
{
    if (is_enabled(mechanism::workspace_limits))
        if (const status limited = m_limiter.admit(request.workspace, m_now); !is_ok(limited))
            return limited;
    if (!is_enabled(mechanism::priority_shedding))
        return ok_status();
    const status admitted = m_admission.admit(request, m_now);
    if (!is_ok(admitted) && is_enabled(mechanism::workspace_limits))
        m_limiter.release(request.workspace);
    return admitted;
}

void flow_core::release_limits(const request_entry& entry)
{
    if (!entry.admitted)
        return;
    m_bodies.give_back(entry.request().body.size());
    if (is_enabled(mechanism::workspace_limits))
        m_limiter.release(entry.request().workspace);
    if (is_enabled(mechanism::priority_shedding))
        m_admission.release(entry.request().workspace);
}

void flow_core::refuse(const request_arrived& event, outcome result, const error& reason)
{
    log_event(event_id::request_refused,
              {{"request", event.request.id.str()}, {"code", to_string(reason)}});
    count("chivedeal_requests_refused_total");
    send(event.request.id, event.connection, answer_end{.result = result, .reason = reason});
}

void flow_core::on_event(const request_resumed& event)
{
    request_entry* entry = find(event.request);
    if (entry == nullptr) {
        if (const auto kept = m_answers.find(event.request)) {
            replay(*kept, event.connection, event.next_position);
            return;
        }
        send(event.request, event.connection,
             answer_end{.result = outcome::unknown,
                        .reason = {.code = result_code::unknown_request,
                                   .message = "this node does not hold the request"}});
        return;
    }
    if (entry->connection() != 0)
        m_commands.emplace_back(drop_connection{.connection = entry->connection()});
    entry->attach_caller(event.connection);
    for (std::uint64_t i = event.next_position; i < entry->tokens().size(); ++i)
        send(event.request, event.connection,
             answer_token{.position = i, .text = entry->tokens()[i]});
}

void flow_core::replay(const finished_answer& answer, std::uint64_t connection,
                       std::uint64_t position)
{
    for (std::uint64_t i = position; i < answer.tokens.size(); ++i)
        send(answer.request.id, connection, answer_token{.position = i, .text = answer.tokens[i]});
    send(answer.request.id, connection,
         answer_end{.result = answer.result, .reason = answer.reason});
}

void flow_core::on_event(const caller_disconnected& event)
{
    request_entry* entry = find(event.request);
    if (entry == nullptr || entry->connection() != event.connection)
        return;
    const bool resumable = is_enabled(mechanism::stream_resume);
    // A non-idempotent request may take effect anyway, so it runs on without its caller.
    entry->detach_caller(entry->request().idempotent()
                             ? m_now + (resumable ? m_options.resume_window : absl::ZeroDuration())
                             : absl::InfiniteFuture());
    check_deadlines(*entry);
}

void flow_core::on_event(const request_cancelled& event)
{
    if (request_entry* entry = find(event.request))
        cancel(*entry, "the caller cancelled the request");
}

void flow_core::cancel(request_entry& entry, const char* reason)
{
    stop_attempt(entry);
    finish(entry, failure_outcome(entry.evidence),
           {.code = result_code::cancelled, .message = reason});
}

void flow_core::on_event(const load_report& event)
{
    m_load_reports[event.endpoint] = event;
    m_options.policy.on_load(event, m_now);
}

void flow_core::on_event(const cache_event_batch& event)
{
    m_options.policy.on_cache_events(event, m_now);
}

void flow_core::on_event(const state_changed& event)
{
    m_state = event.state;
    m_limiter.on_state(event.state);
    m_options.policy.on_state(event.state);
}

void flow_core::on_event(const drain_requested& /*event*/)
{
    m_drain.start(m_now);
    advance_drain();
}

void flow_core::advance_drain()
{
    for (const drain_controller::step step :
         m_drain.advance(m_now, m_requests.size() + m_pending_answer_offers)) {
        switch (step) {
        case drain_controller::step::delist:
            log_event(event_id::drain_started, {{"open", absl::StrCat(m_requests.size())}});
            m_commands.emplace_back(announce_leaving{});
            break;
        case drain_controller::step::close_intake:
            m_intake_closed = true;
            break;
        case drain_controller::step::hand_off:
            hand_off_streams();
            break;
        case drain_controller::step::stop:
            log_event(event_id::drain_finished, {{"open", absl::StrCat(m_requests.size())}});
            m_commands.emplace_back(stop_node{});
            break;
        }
    }
}

void flow_core::on_event(const tick& /*event*/)
{
    for (const request_id& request : m_claims.expire(m_now))
        if (request_entry* entry = find(request))
            finish(
                *entry, failure_outcome(entry->evidence),
                {.code = result_code::claim_unavailable,
                 .message = "the claim of the idempotency key timed out; retry with the same key"});
    m_answers.expire(m_now);
    for (const request_id& request : open_ids())
        if (request_entry* entry = find(request))
            check_deadlines(*entry);
    advance_drain();
}

void flow_core::check_deadlines(request_entry& entry)
{
    if (entry.hand_off_pending)
        return;
    if (m_now >= entry.request().deadline) {
        stop_attempt(entry);
        finish(entry, failure_outcome(entry.evidence),
               {.code = result_code::deadline_exceeded, .message = "the deadline passed"});
        return;
    }
    if (m_now >= entry.resume_until()) {
        cancel(entry, "the caller disconnected and did not resume the request in time");
        return;
    }
    if (m_now >= entry.retry_at)
        start_attempt(entry);
    else
        run_planned_step(entry);
}

void flow_core::finish(request_entry& entry, outcome result, error reason)
{
    const caller_request& request = entry.request();
    log_event(event_id::request_finished, {{"request", request.id.str()},
                                           {"outcome", to_string(result)},
                                           {"attempts", absl::StrCat(entry.last_attempt())}});
    count(absl::StrCat("chivedeal_requests_total{outcome=\"", to_string(result), "\"}"));
    release_limits(entry);
    complete_claim(entry, result);
    send(request.id, entry.connection(), answer_end{.result = result, .reason = reason});
    // A request that did not run may be sent again with its ID. For any other outcome, keep the
    // answer so that a repeated request gets the same one.
    if (result != outcome::not_run)
        m_answers.add({.request = request,
                       .tokens = entry.tokens(),
                       .result = result,
                       .reason = std::move(reason),
                       .delivered = entry.connection() != 0},
                      m_now);
    m_requests.erase(request_id(request.id));
}

void flow_core::send(const request_id& request, std::uint64_t connection, answer_event event)
{
    if (connection != 0)
        m_commands.emplace_back(
            send_answer{.request = request, .connection = connection, .event = std::move(event)});
}

request_entry* flow_core::find(const request_id& request)
{
    const auto it = m_requests.find(request);
    return it == m_requests.end() ? nullptr : it->second.get();
}

std::vector<request_id> flow_core::open_ids() const
{
    std::vector<request_id> ids;
    ids.reserve(m_requests.size());
    for (const auto& [id, entry] : m_requests)
        ids.push_back(id);
    // Hash order differs between runs; the order of commands must not.
    std::sort(ids.begin(), ids.end());
    return ids;
}

void flow_core::count(const std::string& name, double delta)
{
    if (m_options.counters != nullptr)
        m_options.counters->add(name, delta);
}

} // namespace chivedeal::requests::detail
