#include "chivedeal/forward/request_runner.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/metrics.hpp"
#include "chivedeal/forward/caller_side.hpp"
#include "chivedeal/forward/endpoint_side.hpp"
#include "chivedeal/forward/head_parser.hpp"
#include "chivedeal/forward/http_fields.hpp"
#include "chivedeal/forward/request_format.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>

namespace chivedeal::forward {

namespace {

// The caller sent its request a little before its first byte was read here; a final answer at the
// route's timeout has to be there in time.
constexpr absl::Duration timeout_margin = absl::Milliseconds(40);
// Less time than this doesn't carry a request to an endpoint and its answer back.
constexpr absl::Duration least_time_left = absl::Milliseconds(10);
// How long a silent endpoint keeps a request that another may run instead: this multiple of the
// predicted time and a little more, at most this multiple of the route's objective.
constexpr double attempt_patience = 3;
constexpr absl::Duration least_patience = absl::Milliseconds(300);
// A pause in a stream that may be resumed, after which its endpoint counts as lost.
constexpr absl::Duration stream_silence = absl::Milliseconds(1500);
constexpr absl::Duration full_retry_after = absl::Milliseconds(400);
// The workspace is within its limit and only this node may admit no more of it now; callers come
// back to another one.
constexpr absl::Duration part_retry_after = absl::Milliseconds(100);
constexpr absl::Duration unconfigured_retry_after = absl::Milliseconds(300);
// A caller that takes its answer slowly stops the endpoint's beyond this.
constexpr std::size_t most_backlog = 256 * 1024;
// Part of the platform's retry bound that the nodes use together.
constexpr double budget_use = 0.8;
constexpr double tolerance_use = 0.4;
// An answer slower than this multiple of the objective counts against a new version.
constexpr double slow_factor = 3;

// Callers take these for "not run, and never will be".
bool promises_not_run(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

std::string milliseconds(absl::Duration value)
{
    return absl::StrFormat("%.1f", absl::ToDoubleMilliseconds(value));
}

double unit_interval(const std::string& text)
{
    return static_cast<double>(absl::HashOf(text) >> 11) / static_cast<double>(1ULL << 53);
}

const service_id& pick_service(const route& matched, double random)
{
    double total = 0;
    for (const weighted_service& one : matched.services)
        total += one.weight;
    double left = random * total;
    for (const weighted_service& one : matched.services) {
        left -= one.weight;
        if (left < 0)
            return one.service;
    }
    return matched.services.back().service;
}

} // namespace

request_runner::request_runner(options parts)
    : m_settings(parts.settings),
      m_names(parts.names),
      m_callers(parts.callers),
      m_endpoints(parts.endpoints),
      m_pool(parts.pool),
      m_counters(parts.counters),
      m_usage(parts.settings.usage_window)
{}

request_runner::~request_runner() = default;

void request_runner::set_config(std::shared_ptr<const route_index> index, absl::Time now)
{
    m_index = std::move(index);
    m_quota.set_workspaces(limits_with_tolerance(), now);
    m_callers.set_limits(m_index->config().limits);
}

// Part of the platform's tolerance goes into the limits, so that a workspace that keeps to its limit
// isn't refused for what nodes know of each other too late. The rest covers their excess.
std::vector<workspace_spec> request_runner::limits_with_tolerance() const
{
    std::vector<workspace_spec> workspaces = m_index->config().workspaces;
    for (workspace_spec& one : workspaces) {
        one.rate *= 1 + m_settings.quota_excess * tolerance_use;
        if (one.counts_tokens)
            one.burst += m_settings.quota_slack * tolerance_use;
    }
    return workspaces;
}

void request_runner::set_nodes(int nodes)
{
    m_nodes = std::max(1, nodes);
    m_quota.set_nodes(m_nodes);
}

void request_runner::on_request(std::uint64_t connection, http_request request, absl::Time started,
                                absl::Time now)
{
    auto head = parse_request_head(request, m_names);
    if (!is_ok(head))
        return answer_early(connection, 400, get_error(head).message.c_str(), "",
                            absl::ZeroDuration(), now);
    const std::string id = get_value(head).id.str();
    if (!m_index)
        return answer_early(connection, 503, "no configuration yet", id, unconfigured_retry_after,
                            now);
    const auto match =
        m_index->match(get_value(head).host, get_value(head).target, get_value(head).key);
    if (!is_ok(match))
        return answer_early(connection,
                            get_error(match).code == result_code::unknown_route ? 404 : 401,
                            get_error(match).message.c_str(), id, absl::ZeroDuration(), now);
    auto owned = std::make_unique<exchange>();
    exchange& one = *owned;
    one.id = m_next++;
    one.connection = connection;
    one.head = take_value(std::move(head));
    one.request = std::move(request);
    one.index = m_index;
    one.match = get_value(match);
    one.random = unit_interval(id);
    one.arrived = started;
    const route& matched = *one.match.matched;
    one.give_up_at = started + std::min(matched.timeout - timeout_margin,
                                        one.head.deadline.value_or(absl::InfiniteDuration()));
    one.rule = retry_rule({.attempts = matched.attempts, .may_repeat = matched.may_repeat()});
    one.query = {.service = pick_service(matched, one.random),
                 .prompt_tokens = one.head.prompt_tokens,
                 .prefix = one.head.prefix};
    m_by_connection[connection] = one.id;
    m_exchanges.emplace(one.id, std::move(owned));
    schedule(one);
    if (!admit(one, now))
        return;
    budget_of(one.query.service).on_first_attempt(now);
    m_asked_tokens[one.query.service] += one.head.prompt_tokens;
    try_endpoint(one, now);
}

bool request_runner::admit(exchange& one, absl::Time now)
{
    const workspace_spec* workspace = one.match.workspace;
    if (workspace == nullptr)
        return true;
    one.quota_cost = 1;
    if (workspace->counts_tokens)
        one.quota_cost = static_cast<double>(
            one.head.has_token_counts ? one.head.prompt_tokens + one.head.max_output_tokens
                                      : workspace->plain_tokens);
    if (m_quota.try_admit(workspace->name, one.quota_cost, now))
        return true;
    const absl::Duration wait = m_quota.time_until(workspace->name, one.quota_cost);
    one.quota_cost = 0;
    if (wait <= absl::ZeroDuration())
        refuse(one, 429, "this node's part of the workspace limit", part_retry_after, now);
    else
        refuse(one, 429, "workspace limit", std::max(wait, full_retry_after), now);
    return false;
}

void request_runner::try_endpoint(exchange& one, absl::Time now)
{
    if (one.give_up_at - now < least_time_left)
        return on_time_out(one, now);
    // One endpoint after another is tried until a connection takes the request.
    while (true) {
        const auto choice = m_pool.choose(one.query, one.random, now);
        if (!is_ok(choice))
            return finish_failed(one, to_string(get_error(choice).code).c_str(), now);
        one.attempt = get_value(choice);
        one.chosen = *one.attempt;
        one.attempt_sent = false;
        one.attempt_answered = false;
        one.attempt_read = false;
        one.attempt_started = now;
        one.attempt_deadline = absl::InfiniteFuture();
        one.answer = {};
        one.body.clear();
        m_pool.on_sent(one.attempt->id, one.attempt->reading_tokens, now);
        const std::uint64_t id = one.id;
        const bool sent = m_endpoints.send({.exchange = one.id,
                                            .endpoint = one.attempt->id,
                                            .address = one.attempt->address,
                                            .bytes = format_request(one, m_names, now),
                                            .expected_id = one.head.id,
                                            .is_head_request = one.head.method == "HEAD",
                                            .max_connections = connection_limit(one.query.service)},
                                           now);
        // The attempt may have ended, and the exchange with it, before `send` returned.
        if (find(id) == nullptr)
            return;
        if (sent)
            break;
        m_pool.on_ended(one.attempt->id, false);
        one.query.excluded.push_back(one.attempt->id);
        one.attempt.reset();
    }
    schedule(one);
}

void request_runner::on_request_sent(std::uint64_t id, absl::Time now)
{
    exchange* one = find(id);
    if (one == nullptr)
        return;
    one->attempt_sent = true;
    one->rule.on_sent();
    ++one->attempts;
    if (one->match.matched->may_repeat() && one->rule.sent() < one->match.matched->attempts) {
        const absl::Duration expected = one->attempt->predicted * attempt_patience + least_patience;
        one->attempt_deadline =
            now + std::min(expected, one->match.matched->goal * attempt_patience);
        schedule(*one);
    }
}

void request_runner::on_answer_head(std::uint64_t id, const http_response_head& head,
                                    absl::Time now)
{
    exchange* one = find(id);
    if (one == nullptr)
        return;
    one->answer = head;
    one->attempt_answered = true;
    const bool signed_answer =
        m_names.signature.empty() || find_field(head.fields, m_names.signature) != nullptr;
    const bool streams = one->match.matched->kind == route_kind::streaming && head.status == 200 &&
                         signed_answer && find_field(head.fields, "Content-Encoding") == nullptr;
    if (!streams) {
        if (one->relaying)
            end_attempt(*one, attempt_outcome::broken, "stream not resumed", now);
        return;
    }
    if (!one->relaying)
        begin_relay(*one, head, now);
}

void request_runner::begin_relay(exchange& one, const http_response_head& head, absl::Time now)
{
    one.relaying = true;
    m_callers.begin_stream(
        one.connection, {.status = head.status, .fields = end_to_end_fields(head.fields, {})}, now);
}

void request_runner::note_first_byte(exchange& one, absl::Time now)
{
    if (one.first_byte == absl::InfiniteFuture())
        one.first_byte = now;
    const absl::Duration late = now - one.attempt_started - one.attempt->predicted;
    m_pool.on_first_byte(one.attempt->id, one.query, late, now);
    one.attempt_read = true;
    count_usage(one, now);
}

void request_runner::on_answer_body(std::uint64_t id, std::string_view bytes, absl::Time now)
{
    exchange* one = find(id);
    if (one == nullptr)
        return;
    if (!one->relaying) {
        one->body.append(bytes);
        return;
    }
    if (!one->attempt_read)
        note_first_byte(*one, now);
    else
        m_pool.on_bytes(one->attempt->id, now);
    if (!one->match.matched->resumable) {
        m_callers.send_stream(one->connection, bytes, now);
    }
    else {
        m_callers.send_stream(one->connection, one->events.feed(bytes), now);
        if (find(id) == nullptr)
            return;
        one->attempt_deadline = one->rule.sent() < one->match.matched->attempts
                                    ? now + stream_silence
                                    : absl::InfiniteFuture();
        schedule(*one);
    }
    if (find(id) != nullptr && m_callers.backlog(one->connection) > most_backlog)
        m_endpoints.pause(id, true);
}

void request_runner::on_caller_writable(std::uint64_t connection)
{
    const auto found = m_by_connection.find(connection);
    if (found != m_by_connection.end())
        m_endpoints.pause(found->second, false);
}

void request_runner::on_answer_end(std::uint64_t id, absl::Time now)
{
    exchange* one = find(id);
    if (one == nullptr)
        return;
    if (!one->relaying)
        return judge_answer(*one, now);
    if (one->match.matched->resumable && one->events.has_partial())
        return end_attempt(*one, attempt_outcome::broken, "stream ended inside an event", now);
    m_pool.on_success(one->attempt->id, now);
    const bool slow = one->first_byte - one->arrived > one->match.matched->goal * slow_factor;
    count_outcome(*one, !slow);
    release_attempt(*one);
    m_callers.end_stream(one->connection, now);
    finish(*one, 200, "answered", now);
}

void request_runner::judge_answer(exchange& one, absl::Time now)
{
    const int status = one.answer.status;
    const bool not_run = find_field(one.answer.fields, m_names.not_run) != nullptr;
    if (status == 421)
        return end_attempt(one, attempt_outcome::wrong_endpoint, "another endpoint answered", now);
    if (not_run)
        return end_attempt(one, attempt_outcome::refused, "refused by the endpoint", now);
    const bool unsigned_success = status / 100 == 2 && !m_names.signature.empty() &&
                                  find_field(one.answer.fields, m_names.signature) == nullptr;
    if (unsigned_success || find_field(one.answer.fields, "Content-Encoding") != nullptr)
        return end_attempt(one, attempt_outcome::broken, "not the endpoint's answer", now);
    if (status / 100 == 5 || promises_not_run(status))
        return end_attempt(one, attempt_outcome::failed, "failed by the endpoint", now);
    deliver(one, now);
}

void request_runner::deliver(exchange& one, absl::Time now)
{
    if (one.first_byte == absl::InfiniteFuture())
        note_first_byte(one, now);
    const int status = one.answer.status;
    if (status / 100 != 5) {
        m_pool.on_success(one.attempt->id, now);
        count_outcome(one, now - one.attempt_started <= one.match.matched->goal * slow_factor);
    }
    release_attempt(one);
    m_callers.respond(one.connection,
                      {.status = status, .fields = end_to_end_fields(one.answer.fields, {})},
                      one.body, now);
    finish(one, status, "answered", now);
}

void request_runner::on_attempt_lost(std::uint64_t id, bool sent, const char* reason,
                                     absl::Time now)
{
    exchange* one = find(id);
    if (one == nullptr)
        return;
    end_attempt(*one, sent ? attempt_outcome::broken : attempt_outcome::not_sent, reason, now);
}

void request_runner::end_attempt(exchange& one, attempt_outcome outcome, const char* reason,
                                 absl::Time now)
{
    const endpoint_id endpoint = one.attempt->id;
    m_endpoints.cancel(one.id);
    one.rule.on_outcome(outcome);
    switch (outcome) {
    case attempt_outcome::refused:
        m_pool.on_refused(endpoint, now);
        break;
    case attempt_outcome::wrong_endpoint:
    case attempt_outcome::not_sent:
        m_pool.on_unreachable(endpoint, now);
        break;
    case attempt_outcome::broken:
    case attempt_outcome::timed_out:
    case attempt_outcome::failed:
        if (outcome == attempt_outcome::timed_out)
            m_pool.on_silence(endpoint, now);
        else
            m_pool.on_failure(endpoint, now);
        count_outcome(one, false);
        // It probably ran. A silent stream more likely waits.
        if (outcome != attempt_outcome::timed_out ||
            one.match.matched->kind != route_kind::streaming)
            count_usage(one, now);
        break;
    }
    m_counters.add("chivedeal_attempts_failed_total", 1);
    log_event(event_id::attempt_failed, {{"request", one.head.id.str()},
                                         {"endpoint", endpoint.str()},
                                         {"reason", reason},
                                         {"after_ms", milliseconds(now - one.attempt_started)},
                                         {"attempt", absl::StrCat(one.attempts)}});
    after_failure(one, outcome, now);
}

void request_runner::after_failure(exchange& one, attempt_outcome outcome, absl::Time now)
{
    const endpoint_choice failed = *one.attempt;
    const bool repeats = one.rule.is_repeat();
    const bool retry = one.rule.may_retry() && one.give_up_at - now >= least_time_left &&
                       (!repeats || budget_of(one.query.service).try_spend(now));
    if (retry) {
        release_attempt(one);
        one.query.excluded.push_back(failed.id);
        one.events.drop_partial();
        m_counters.add("chivedeal_attempts_retried_total", 1);
        return try_endpoint(one, now);
    }
    if (one.relaying) {
        release_attempt(one);
        m_callers.abort(one.connection);
        return finish(one, 0, "stream broken", now);
    }
    // A failure that the endpoint answered itself is passed on, unless its status would promise
    // that the request did not run.
    if (outcome == attempt_outcome::failed && !promises_not_run(one.answer.status))
        return deliver(one, now);
    release_attempt(one);
    finish_failed(one, "attempts used up", now);
}

void request_runner::finish_failed(exchange& one, const char* reason, absl::Time now)
{
    if (one.relaying) {
        m_callers.abort(one.connection);
        return finish(one, 0, reason, now);
    }
    if (one.rule.may_have_run())
        return refuse(one, 502, reason, absl::ZeroDuration(), now);
    refuse(one, 503, reason, full_retry_after, now);
}

void request_runner::on_time_out(exchange& one, absl::Time now)
{
    const bool silent = one.attempt && one.attempt_sent && !one.attempt_answered;
    if (one.attempt) {
        m_endpoints.cancel(one.id);
        if (silent)
            m_pool.on_silence(one.attempt->id, now);
        count_outcome(one, false);
        release_attempt(one);
    }
    if (one.relaying) {
        m_callers.abort(one.connection);
        return finish(one, 0, "timeout in a stream", now);
    }
    if (one.rule.may_have_run())
        return refuse(one, 504, "timeout", absl::ZeroDuration(), now);
    refuse(one, 503, "timeout before a start", full_retry_after, now);
}

void request_runner::on_caller_left(std::uint64_t connection, absl::Time now)
{
    const auto found = m_by_connection.find(connection);
    if (found == m_by_connection.end())
        return;
    exchange& one = *m_exchanges.at(found->second);
    m_endpoints.cancel(one.id);
    release_attempt(one);
    finish(one, 0, "caller left", now);
}

void request_runner::release_attempt(exchange& one)
{
    if (!one.attempt)
        return;
    m_pool.on_ended(one.attempt->id, one.attempt_read);
    one.attempt.reset();
}

void request_runner::refuse(exchange& one, int status, const char* reason,
                            absl::Duration retry_after, absl::Time now)
{
    std::vector<http_field> fields{{m_names.request_id, one.head.id.str()}};
    if (retry_after > absl::ZeroDuration())
        fields.push_back(
            {"Retry-After", absl::StrFormat("%.1f", absl::ToDoubleSeconds(retry_after))});
    if (one.quota_cost > 0 && !one.rule.may_have_run() && one.match.workspace != nullptr)
        m_quota.give_back(one.match.workspace->name, one.quota_cost);
    m_callers.respond(one.connection, {.status = status, .fields = std::move(fields)}, "", now);
    finish(one, status, reason, now);
}

void request_runner::answer_early(std::uint64_t connection, int status, const char* reason,
                                  const std::string& id, absl::Duration retry_after, absl::Time now)
{
    std::vector<http_field> fields;
    if (!id.empty())
        fields.push_back({m_names.request_id, id});
    if (retry_after > absl::ZeroDuration())
        fields.push_back(
            {"Retry-After", absl::StrFormat("%.1f", absl::ToDoubleSeconds(retry_after))});
    m_counters.add("chivedeal_requests_refused_total", 1);
    log_event(event_id::request_refused,
              {{"request", id}, {"status", absl::StrCat(status)}, {"reason", reason}});
    m_callers.respond(connection, {.status = status, .fields = std::move(fields)}, "", now);
}

void request_runner::finish(exchange& one, int status, const char* reason, absl::Time now)
{
    m_counters.add("chivedeal_requests_total", 1);
    if (one.first_byte != absl::InfiniteFuture())
        m_counters.observe("chivedeal_first_byte_seconds",
                           absl::ToDoubleSeconds(one.first_byte - one.arrived));
    log_event(event_id::request_finished,
              {{"request", one.head.id.str()},
               {"route", one.match.matched->name},
               {"workspace", one.match.workspace == nullptr ? "" : one.match.workspace->name.str()},
               {"endpoint", one.chosen.id.str()},
               {"predicted_ms", milliseconds(one.chosen.predicted)},
               {"cached_tokens", absl::StrCat(one.chosen.cached_tokens)},
               {"candidates", absl::StrCat(one.chosen.candidates)},
               {"status", absl::StrCat(status)},
               {"reason", reason},
               {"attempts", absl::StrCat(one.attempts)},
               {"first_ms", one.first_byte == absl::InfiniteFuture()
                                ? "none"
                                : milliseconds(one.first_byte - one.arrived)},
               {"total_ms", milliseconds(now - one.arrived)},
               {"config", absl::StrCat(one.index->config().version)}});
    m_timers.erase({one.wake_at, one.id});
    m_by_connection.erase(one.connection);
    m_exchanges.erase(one.id);
}

void request_runner::count_usage(exchange& one, absl::Time now)
{
    if (one.usage_counted || one.match.workspace == nullptr)
        return;
    one.usage_counted = true;
    m_usage.on_started(one.match.workspace->name, now + m_true_time_offset);
}

void request_runner::count_outcome(const exchange& one, bool good)
{
    if (one.attempt)
        m_outcomes.count(one.query.service, one.attempt->version, good);
}

void request_runner::schedule(exchange& one)
{
    const absl::Time due = std::min(one.give_up_at, one.attempt_deadline);
    if (due == one.wake_at)
        return;
    m_timers.erase({one.wake_at, one.id});
    one.wake_at = due;
    m_timers.emplace(due, one.id);
}

absl::Time request_runner::tick(absl::Time now)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        exchange& one = *m_exchanges.at(m_timers.begin()->second);
        if (now >= one.give_up_at) {
            on_time_out(one, now);
        }
        else if (one.attempt && one.attempt_sent) {
            one.attempt_deadline = absl::InfiniteFuture();
            schedule(one);
            // Without budget the attempt under way is the best that the request has.
            if (one.rule.may_retry() && one.rule.sent() < one.match.matched->attempts)
                end_attempt(one, attempt_outcome::timed_out, "endpoint silent", now);
        }
        else {
            one.attempt_deadline = absl::InfiniteFuture();
            schedule(one);
        }
    }
    return m_timers.empty() ? absl::InfiniteFuture() : m_timers.begin()->first;
}

requests::retry_budget& request_runner::budget_of(const service_id& service)
{
    auto& budget = m_budgets[service];
    if (!budget)
        // Over one window the budget grants twice its minimum.
        budget = std::make_unique<requests::retry_budget>(requests::retry_budget::options{
            .share = m_settings.retry_ratio * budget_use,
            .minimum = m_settings.retry_slack * budget_use / 2 / m_nodes,
            .window = m_settings.retry_window});
    return *budget;
}

int request_runner::connection_limit(const service_id& service) const
{
    const service_spec* spec = m_index->find_service(service);
    if (spec == nullptr || spec->max_connections <= 0)
        return 64;
    return std::max(2, spec->max_connections * 9 / 10 / m_nodes);
}

exchange* request_runner::find(std::uint64_t id)
{
    const auto found = m_exchanges.find(id);
    return found == m_exchanges.end() ? nullptr : found->second.get();
}

} // namespace chivedeal::forward
