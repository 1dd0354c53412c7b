#include "chivedeal/requests/request_flow.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/requests/route_choice.hpp"
#include "chivedeal/requests/route_policy.hpp"
#include "chivedeal/requests/route_query.hpp"

#include "absl/strings/str_cat.h"

#include <utility>

namespace chivedeal::requests {

namespace {

// Roughly four bytes of English or German text make one token.
constexpr std::size_t bytes_per_token = 4;

} // namespace

class request_flow::entry
{
public:
    entry(caller_request request, membership::endpoint target)
        : m_request(std::move(request)), m_target(std::move(target))
    {}

    caller_request m_request;
    membership::endpoint m_target;
    int m_attempt = 1;
    std::uint64_t m_next_position = 0;
};

// Turns one event into commands.
class request_flow::handler
{
public:
    handler(request_flow& flow, absl::Time now) : m_flow(flow), m_now(now) {}

    void operator()(const request_arrived& event);
    void operator()(const caller_left& event);
    void operator()(const attempt_event& event);
    void operator()(const load_report& report) { m_flow.m_policy.on_load(report, m_now); }
    void operator()(const state_changed& event);
    void operator()(const view_changed& event) { m_flow.m_policy.on_view(event.view, m_now); }
    void operator()(const tick& event);

    std::vector<flow_command> take_commands() { return std::move(m_commands); }

private:
    void take(entry& request, const attempt_started& event);
    void take(entry& request, const attempt_token& event);
    void take(entry& request, const attempt_ended& event);
    void take(entry& request, const attempt_failed& event);
    void finish(const request_id& request, outcome result, error reason);

    request_flow& m_flow;
    absl::Time m_now;
    std::vector<flow_command> m_commands;
};

namespace {

route_query query_of(const caller_request& request)
{
    return route_query{.request = request.id,
                       .service = request.service,
                       .route = request.route,
                       .prefix = request.prefix,
                       .prompt_tokens = request.body.size() / bytes_per_token,
                       .excluded = {}};
}

} // namespace

void request_flow::handler::operator()(const request_arrived& event)
{
    const caller_request& request = event.request;
    const route_query query = query_of(request);
    auto chosen = m_flow.m_policy.choose(query, m_now);
    if (!is_ok(chosen)) {
        log_event(event_id::request_refused,
                  {{"request", request.id.str()}, {"code", to_string(get_error(chosen))}});
        m_commands.emplace_back(send_answer{
            .request = request.id,
            .event = answer_end{.result = outcome::not_run, .reason = get_error(chosen)}});
        return;
    }
    const route_choice& choice = get_value(chosen);
    log_event(event_id::route_chosen, {{"request", request.id.str()},
                                       {"endpoint", choice.target.id.str()},
                                       {"reason", choice.reason},
                                       {"score", absl::StrCat(choice.score)},
                                       {"weighed", choice.weighed}});
    m_flow.m_policy.on_attempt_started(choice.target.id, query, m_now);
    auto added = std::make_unique<entry>(request, choice.target);
    m_commands.emplace_back(attempt_start{.request = request.id,
                                          .attempt = added->m_attempt,
                                          .endpoint = choice.target.id,
                                          .target = choice.target.listen,
                                          .kind = choice.target.kind,
                                          .version = choice.target.version,
                                          .priority = request.priority,
                                          .deadline = request.deadline,
                                          .body = request.body,
                                          .tokens_so_far = {},
                                          .kv_handle = {}});
    m_flow.m_requests[request.id] = std::move(added);
}

void request_flow::handler::operator()(const caller_left& event)
{
    const auto found = m_flow.m_requests.find(event.request);
    if (found == m_flow.m_requests.end())
        return;
    m_commands.emplace_back(
        cancel_attempt{.request = event.request, .attempt = found->second->m_attempt});
    finish(event.request, outcome::unknown,
           {.code = result_code::cancelled, .message = "the caller left"});
}

void request_flow::handler::operator()(const attempt_event& event)
{
    const auto found = m_flow.m_requests.find(event.request);
    if (found == m_flow.m_requests.end() || found->second->m_attempt != event.attempt) {
        log_event(event_id::stale_event_dropped,
                  {{"request", event.request.str()}, {"attempt", absl::StrCat(event.attempt)}});
        return;
    }
    std::visit([&](const auto& body) { take(*found->second, body); }, event.body);
}

void request_flow::handler::operator()(const state_changed& event)
{
    m_flow.m_state = event.state;
    m_flow.m_policy.on_state(event.state);
}

void request_flow::handler::operator()(const tick& /*event*/) {}

void request_flow::handler::take(entry& request, const attempt_started& event)
{
    m_flow.m_policy.on_cached(request.m_target.id, query_of(request.m_request), event.cached_tokens,
                              m_now);
}

void request_flow::handler::take(entry& request, const attempt_token& event)
{
    if (event.position != request.m_next_position)
        return;
    ++request.m_next_position;
    m_commands.emplace_back(
        send_answer{.request = request.m_request.id,
                    .event = answer_token{.position = event.position, .text = event.text}});
}

void request_flow::handler::take(entry& request, const attempt_ended& /*event*/)
{
    finish(request.m_request.id, outcome::answered, {});
}

void request_flow::handler::take(entry& request, const attempt_failed& event)
{
    const bool not_started = event.reason.code == result_code::endpoint_not_started;
    finish(request.m_request.id, not_started ? outcome::not_run : outcome::failed, event.reason);
}

void request_flow::handler::finish(const request_id& request, outcome result, error reason)
{
    const auto found = m_flow.m_requests.find(request);
    const entry& ended = *found->second;
    log_event(event_id::request_finished, {{"request", request.str()},
                                           {"outcome", to_string(result)},
                                           {"attempts", absl::StrCat(ended.m_attempt)}});
    m_flow.m_policy.on_attempt_over(ended.m_target.id, query_of(ended.m_request),
                                    result != outcome::answered, m_now);
    m_commands.emplace_back(
        send_answer{.request = ended.m_request.id,
                    .event = answer_end{.result = result, .reason = std::move(reason)}});
    m_flow.m_requests.erase(found);
}

request_flow::request_flow(route_policy& policy) : m_policy(policy) {}

request_flow::~request_flow() = default;

std::vector<flow_command> request_flow::handle(const flow_event& event, absl::Time now)
{
    handler one(*this, now);
    std::visit(one, event);
    return one.take_commands();
}

} // namespace chivedeal::requests
