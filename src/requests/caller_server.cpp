#include "chivedeal/requests/caller_server.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/metrics.hpp"
#include "chivedeal/forward/http_fields.hpp"
#include "chivedeal/forward/rejection.hpp"
#include "chivedeal/forward/sockets.hpp"
#include "chivedeal/requests/answer_format.hpp"
#include "chivedeal/requests/answer_queue.hpp"
#include "chivedeal/requests/ready_answers.hpp"
#include "chivedeal/requests/request_parser.hpp"
#include "chivedeal/requests/request_target.hpp"
#include "chivedeal/requests/route_replies.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

#include <unistd.h>

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

namespace chivedeal::requests {

namespace {

constexpr std::uint64_t wake_id = 1;
constexpr std::uint64_t listener_id = 2;

// Buffers a burst of tokens while the caller's socket is busy.
constexpr std::size_t max_reply_events = 1024;
// A resumed request receives all missed tokens at once; a caller that is further behind than this
// resumes again.
constexpr std::size_t max_resumed_reply_events = 8192;
// Events stay in their queue while the caller has more unsent output than this.
constexpr std::size_t max_backlog_bytes = 64 * 1024;

constexpr absl::Duration periodic_task_interval = absl::Milliseconds(100);
// How long a stop waits for answers to be written.
constexpr absl::Duration max_stop_time = absl::Seconds(2);

constexpr const char* retry_after_s = "1";

// Unique within the process, since a restarted server uses the same router.
connection_number next_connection_number()
{
    static std::atomic<connection_number> last_number = 0;
    return ++last_number;
}

error make_overload_error()
{
    return {.code = result_code::ring_full, .message = "the node is overloaded"};
}

// Why a request could not be read.
error rejection_reason(int status)
{
    switch (status) {
    case 413:
        return {.code = result_code::request_too_large,
                .message = "the request body is larger than --max-request-bytes"};
    case 503:
        return {.code = result_code::shed,
                .message = "callers' requests use too much memory; retry later or on another node"};
    default:
        return {.code = result_code::invalid_request,
                .message = "the request is malformed, its head is too large or was not sent in "
                           "time"};
    }
}

} // namespace

caller_server::caller_server(options wiring)
    : m_options(std::move(wiring)),
      m_callers(m_poller, *this, m_options.limits),
      m_ready(std::make_shared<ready_answers>()),
      m_replies(std::make_shared<route_replies>(m_ready))
{
    m_callers.set_limits({.max_body_bytes = m_options.max_request_bytes});
}

caller_server::~caller_server()
{
    for (const auto& [connection, answer] : m_answers)
        answer.queue->abandon();
    if (m_listener >= 0)
        ::close(m_listener);
}

void caller_server::run()
{
    if (m_stopping)
        return;
    m_poller.add(m_ready->wake().descriptor(), wake_id, true, false);
    open_listener();
    while (!m_stopping)
        run_once(m_options.time.now());
    finish(m_options.time.now());
}

void caller_server::request_stop()
{
    m_stopping = true;
    m_ready->wake().raise();
}

void caller_server::open_listener()
{
    const auto opened = forward::listen_tcp(m_options.listen);
    if (!is_ok(opened))
        throw std::runtime_error(to_string(
            error{.code = result_code::invalid_setting,
                  .message = "cannot listen on " + to_string(m_options.listen) +
                             "; stop the process that uses the address or change --http (" +
                             get_error(opened).message + ")"}));
    m_listener = get_value(opened);
    forward::set_buffer_sizes(m_listener, m_options.limits.receive_buffer_bytes,
                              m_options.limits.send_buffer_bytes);
    m_poller.add(m_listener, listener_id, true, false);
}

void caller_server::run_once(absl::Time now)
{
    const absl::Duration wait = m_callers.has_resumable()
                                    ? absl::ZeroDuration()
                                    : std::max(absl::ZeroDuration(), m_next_periodic_run - now);
    for (const forward::poller::ready& event : m_poller.wait(wait)) {
        now = m_options.time.now();
        if (event.id == listener_id)
            m_callers.accept_all(m_listener, 0, now);
        else if (event.id != wake_id)
            m_callers.on_ready(event.id, event.readable, event.writable, event.broken, now);
        m_callers.enforce_budget(now);
    }
    now = m_options.time.now();
    for (const std::uint64_t connection : m_ready->take())
        deliver(connection, now);
    m_callers.enforce_budget(now);
    m_callers.resume(now);
    report_disconnects();
    if (now >= m_next_periodic_run)
        run_periodic_tasks(now);
    m_callers.sweep();
}

void caller_server::run_periodic_tasks(absl::Time now)
{
    m_next_periodic_run = now + periodic_task_interval;
    m_callers.tick(now);
    if (m_options.counters == nullptr)
        return;
    const guard::shed_counts shed = m_callers.shed();
    m_options.counters->set("chivedeal_caller_connections", static_cast<double>(m_callers.size()));
    m_options.counters->set("chivedeal_caller_buffered_bytes",
                            static_cast<double>(m_callers.buffered_bytes()));
    m_options.counters->set(R"(chivedeal_callers_shed_total{reason="memory"})",
                            static_cast<double>(shed.for_memory));
    m_options.counters->set(R"(chivedeal_callers_shed_total{reason="connections"})",
                            static_cast<double>(shed.for_connections));
}

// Writes the answers that are complete. The router has ended by now and has closed the others.
void caller_server::finish(absl::Time now)
{
    const absl::Time end = now + max_stop_time;
    m_poller.remove(m_listener);
    ::close(std::exchange(m_listener, -1));
    m_callers.close_after_responses();
    m_callers.close_idle(now);
    while (now < end &&
           (!m_answers.empty() || m_open_calls > 0 || m_callers.unsent().connections > 0)) {
        run_once(now);
        now = m_options.time.now();
    }
}

void caller_server::on_request(std::uint64_t connection, int /*listener*/,
                               forward::http_request request, absl::Time /*started*/,
                               absl::Time now)
{
    request_target target = parse_request_target(request.target);
    const std::vector<std::string> parts = absl::StrSplit(target.path, '/');
    // "/v1/services/SERVICE/requests" and "/v1/requests/ID"
    const bool is_service_path = parts.size() == 5 && parts[1] == "v1" && parts[2] == "services" &&
                                 !parts[3].empty() && parts[4] == "requests";
    const bool is_request_path =
        parts.size() == 4 && parts[1] == "v1" && parts[2] == "requests" && !parts[3].empty();
    if (is_service_path && request.method == "POST")
        return start(connection, parts[3], request, now);
    if (is_request_path && request.method == "GET")
        return resume(connection, parts[3], request, now);
    if (is_request_path && request.method == "DELETE")
        return cancel(connection, parts[3], now);
    call_route(connection,
               {.method = std::move(request.method),
                .path = std::move(target.path),
                .parameters = std::move(target.parameters),
                .body = std::move(request.body)},
               now);
}

void caller_server::start(std::uint64_t connection, const std::string& service,
                          forward::http_request& request, absl::Time now)
{
    auto parsed = parse_caller_request(request, service, now);
    if (!is_ok(parsed))
        return refuse(connection, get_error(parsed), outcome::not_run, now);
    request_arrived event{.request = take_value(std::move(parsed)),
                          .connection = next_connection_number()};
    open_answer answer{
        .request = event.request.id, .number = event.connection, .queue = {}, .is_arrival = true};
    send_to_router(connection, std::move(event), std::move(answer), max_reply_events, now);
}

void caller_server::resume(std::uint64_t connection, const std::string& request_id,
                           const forward::http_request& request, absl::Time now)
{
    int last_position = -1;
    const std::string* text = forward::find_field(request.fields, "Last-Event-ID");
    if (text != nullptr && (!absl::SimpleAtoi(*text, &last_position) || last_position < 0))
        return refuse(connection,
                      {.code = result_code::invalid_request,
                       .message = "Last-Event-ID is not a token position"},
                      outcome::unknown, now);
    const request_resumed event{.request = chivedeal::request_id(request_id),
                                .connection = next_connection_number(),
                                .next_position = static_cast<std::uint64_t>(last_position + 1)};
    send_to_router(connection, event, {.request = event.request, .number = event.connection},
                   max_resumed_reply_events, now);
}

void caller_server::cancel(std::uint64_t connection, const std::string& request_id, absl::Time now)
{
    const bool accepted = m_options.router_inbox.try_push(
        {.event = request_cancelled{.request = chivedeal::request_id(request_id)},
         .reply = nullptr});
    m_callers.respond(connection, {.status = accepted ? 202 : 503, .fields = {}}, "", now);
}

void caller_server::call_route(std::uint64_t connection, route_call call, absl::Time now)
{
    m_callers.charge_request(connection, call.body.size(), 0);
    if (m_options.route_jobs.try_push(
            {.connection = connection, .call = std::move(call), .replies = m_replies})) {
        ++m_open_calls;
        return;
    }
    refuse(connection, make_overload_error(), outcome::not_run, now);
}

void caller_server::send_to_router(std::uint64_t connection, flow_event event, open_answer answer,
                                   std::size_t max_events, absl::Time now)
{
    // A new idempotent request that the router does not accept did not run. A resumed request may
    // have run, and one with an idempotency key may have run at another node.
    const auto* arrival = std::get_if<request_arrived>(&event);
    const bool may_have_run = arrival == nullptr || !arrival->request.idempotent();
    answer.queue = std::make_shared<answer_queue>(answer_queue::options{
        .connection = connection, .max_events = max_events, .ready = m_ready});
    if (!m_options.router_inbox.try_push({.event = std::move(event), .reply = answer.queue}))
        return refuse(connection, make_overload_error(),
                      may_have_run ? outcome::unknown : outcome::not_run, now);
    m_answers.insert_or_assign(connection, std::move(answer));
}

void caller_server::deliver(std::uint64_t connection, absl::Time now)
{
    if (const auto reply = m_replies->take(connection)) {
        --m_open_calls;
        return m_callers.respond(
            connection,
            {.status = reply->status, .fields = {{"Content-Type", reply->content_type}}},
            reply->body, now);
    }
    const auto found = m_answers.find(connection);
    if (found == m_answers.end())
        return;
    open_answer& answer = found->second;
    while (m_callers.backlog(connection) <= max_backlog_bytes) {
        auto event = answer.queue->pop();
        if (!event && !answer.queue->ended())
            break;
        // Without an event, the router has dropped the request.
        if (!event && !answer.is_streaming)
            event = answer_end{
                .result = outcome::unknown,
                .reason = {.code = result_code::stopping,
                           .message = "the node dropped the request; resume it by its ID"}};
        const bool goes_on = event && deliver_event(connection, answer, *event, now);
        // The caller may have disconnected meanwhile.
        if (!m_answers.contains(connection))
            return;
        if (goes_on)
            continue;
        const bool was_streaming = answer.is_streaming;
        answer.queue->abandon();
        m_answers.erase(found);
        if (was_streaming)
            m_callers.end_stream(connection, now);
        return;
    }
    m_callers.charge_response(connection, answer.queue->bytes());
}

bool caller_server::deliver_event(std::uint64_t connection, open_answer& answer,
                                  const answer_event& event, absl::Time now)
{
    const auto* end = std::get_if<answer_end>(&event);
    if (!answer.is_streaming && end != nullptr && end->result != outcome::answered &&
        answer.is_arrival) {
        refuse(connection, end->reason, end->result, now);
        return false;
    }
    if (!std::exchange(answer.is_streaming, true))
        m_callers.begin_stream(connection,
                               {.status = 200,
                                .fields = {{"Content-Type", "text/event-stream"},
                                           {"Chivedeal-Request-Id", answer.request.str()}}},
                               now);
    m_callers.send_stream(connection, format_answer_event(event), now);
    return std::holds_alternative<answer_token>(event);
}

void caller_server::refuse(std::uint64_t connection, const error& reason, outcome result,
                           absl::Time now)
{
    std::vector<forward::http_field> fields{{"Content-Type", "application/json"}};
    if (reason.code == result_code::rate_limited)
        fields.push_back({"Retry-After", retry_after_s});
    m_callers.respond(connection,
                      {.status = refusal_status(reason.code), .fields = std::move(fields)},
                      format_refusal(reason, result), now);
}

void caller_server::on_caller_disconnected(std::uint64_t connection, absl::Time /*now*/)
{
    const auto found = m_answers.find(connection);
    if (found == m_answers.end())
        return;
    found->second.queue->abandon();
    m_unsent_events.emplace_back(
        caller_disconnected{.request = found->second.request, .connection = found->second.number});
    m_answers.erase(found);
}

void caller_server::report_disconnects()
{
    while (!m_unsent_events.empty() && !m_options.router_inbox.closed()) {
        if (!m_options.router_inbox.try_push({.event = m_unsent_events.front(), .reply = nullptr}))
            return;
        m_unsent_events.pop_front();
    }
}

// The answer goes on from the thread's loop, as this is called while the connection is handled.
void caller_server::on_caller_writable(std::uint64_t connection)
{
    if (m_answers.contains(connection))
        m_ready->add(connection);
}

// Nothing is charged as releasable.
void caller_server::on_release_requested(std::uint64_t /*connection*/, absl::Time /*now*/) {}

// The connection is closed; the caller can resume its request.
void caller_server::on_shed(std::uint64_t /*connection*/, absl::Time /*now*/) {}

forward::rejection caller_server::make_rejection(int status) const
{
    forward::rejection response{.fields = {{"Content-Type", "application/json"}},
                                .body = format_refusal(rejection_reason(status), outcome::not_run)};
    if (status == 503)
        response.fields.push_back({"Retry-After", retry_after_s});
    return response;
}

} // namespace chivedeal::requests
