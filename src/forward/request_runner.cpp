#include "chivedeal/forward/request_runner.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/metrics.hpp"
#include "chivedeal/forward/caller_side.hpp"
#include "chivedeal/forward/endpoint_side.hpp"
#include "chivedeal/forward/head_parser.hpp"
#include "chivedeal/forward/http_fields.hpp"
#include "chivedeal/forward/request_format.hpp"
#include "chivedeal/forward/unit_interval_hash.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>
#include <utility>

namespace chivedeal::forward {

namespace {

// The caller's timeout starts when it sends the request, slightly before this node reads the first
// byte. The margin lets a final response reach the caller before the timeout of the route.
constexpr absl::Duration timeout_margin = absl::Milliseconds(40);
// With less time left, a round trip to an endpoint would not complete.
constexpr absl::Duration min_attempt_time = absl::Milliseconds(10);
// The timeout of an attempt that may be retried is the predicted time to the first byte times
// `attempt_timeout_factor`, plus `attempt_timeout_slack`. It is at most the latency objective of
// the route times `attempt_timeout_factor`.
constexpr double attempt_timeout_factor = 3;
constexpr absl::Duration attempt_timeout_slack = absl::Milliseconds(300);
// A resumable stream moves to another endpoint after this time without data.
constexpr absl::Duration stream_idle_timeout = absl::Milliseconds(1500);
// When all endpoints of a service ask for a pause, callers return after it in the order of their
// priorities, and spread over part of it, so that they don't fill the endpoints at once.
constexpr double retry_spread_per_priority = 0.1;
constexpr double retry_spread = 0.3;
constexpr absl::Duration default_retry_after = absl::Milliseconds(400);
constexpr absl::Duration unconfigured_retry_after = absl::Milliseconds(300);
// The other nodes are ready while this one shuts down.
constexpr absl::Duration shutdown_retry_after = absl::Milliseconds(100);
// Reading from the endpoint pauses when the caller has more unsent response data than this.
constexpr std::size_t max_backlog_bytes = 256 * 1024;
// Limit for a response that is kept until it is complete.
constexpr std::size_t max_response_body_bytes = 4 * 1024 * 1024;
// Limit for one event of a stream that may be resumed, as only whole events are passed on.
constexpr std::size_t max_event_bytes = 1024 * 1024;
// Fraction of the platform's retry limit that all nodes together may use.
constexpr double retry_budget_fraction = 0.8;
// A response slower than this multiple of the latency objective counts as a bad result of a
// version in a roll-out.
constexpr double slow_response_factor = 3;

// Callers interpret these statuses as a guarantee that the request did not and will not run.
bool implies_not_run(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

std::string content_type(const http_response_head& head)
{
    const std::string* type = find_field(head.fields, "Content-Type");
    return type == nullptr ? std::string() : *type;
}

std::string format_milliseconds(absl::Duration value)
{
    return absl::StrFormat("%.1f", absl::ToDoubleMilliseconds(value));
}

// Whether a stream ended inside an event, or before its first event if only the end of the
// connection ended it. A stream that broke off earlier is not complete either if the endpoint that
// resumed it sent no event.
bool is_stream_cut_off(const exchange& current)
{
    const bool was_resumed = current.attempts_sent > current.first_relayed_attempt;
    return current.events.has_partial() || current.boundary.is_inside_event() ||
           (!current.attempt_body_started &&
            (was_resumed || current.response_head.ends_with_connection));
}

// Milliseconds per byte after the first data of a stream, which doesn't depend on the time to read
// the prompt. Absent if all data arrived at once.
std::optional<double> stream_pace(const exchange& current)
{
    if (current.attempt_later_bytes == 0)
        return std::nullopt;
    return absl::ToDoubleMilliseconds(current.attempt_last_byte_at -
                                      current.attempt_body_started_at) /
           static_cast<double>(current.attempt_later_bytes);
}

// Fraction of the requests beyond its share which an unproven version may get that all nodes together
// use to try routes with few requests.
constexpr double trial_slack_fraction = 0.2;

// Whether the endpoint has kept the caller waiting for so long that an answer, or the next data of a
// stream, would count as bad.
bool is_overdue(const exchange& current, absl::Time now)
{
    if (!current.attempt_choice || !current.attempt_sent || current.reading_paused)
        return false;
    const route& matched = *current.match.matched;
    if (!current.attempt_body_started)
        return now - current.attempt_started_at > matched.latency_objective * slow_response_factor;
    const absl::Time last_data_at = current.attempt_later_bytes > 0
                                        ? current.attempt_last_byte_at
                                        : current.attempt_body_started_at;
    const absl::Duration gap_objective =
        std::min(matched.event_gap_objective, matched.latency_objective);
    return now - last_data_at > gap_objective * slow_response_factor;
}

const service_id& pick_service(const route& matched, double sample)
{
    double total_weight = 0;
    for (const weighted_service& candidate : matched.services)
        total_weight += candidate.weight;
    double remaining = sample * total_weight;
    for (const weighted_service& candidate : matched.services) {
        remaining -= candidate.weight;
        if (remaining < 0)
            return candidate.service;
    }
    return matched.services.back().service;
}

} // namespace

request_runner::request_runner(options dependencies)
    : m_settings(dependencies.settings),
      m_names(dependencies.names),
      m_callers(dependencies.callers),
      m_endpoints(dependencies.endpoints),
      m_pool(dependencies.pool),
      m_counters(dependencies.counters),
      m_quota({.starts_empty = !dependencies.settings.is_first_start,
               .excess_ratio = dependencies.settings.quota_excess_ratio,
               .slack_tokens = dependencies.settings.quota_slack_tokens}),
      m_usage(dependencies.settings.usage_window),
      m_quarantine({.self = dependencies.settings.node}),
      m_max_buffered_body_bytes(dependencies.max_buffered_body_bytes)
{}

request_runner::~request_runner() = default;

void request_runner::set_config(std::shared_ptr<const route_index> index, absl::Time now)
{
    m_index = std::move(index);
    m_quota.set_workspaces(m_index->config().workspaces, now);
    m_callers.set_limits(m_index->config().limits);
    m_shutdown.retain(m_index->config().routes);
}

void request_runner::set_node_count(int ready_nodes, int nodes_sharing_limits)
{
    m_node_count = std::max(1, ready_nodes);
    m_quota.set_node_count(nodes_sharing_limits);
}

void request_runner::on_request(std::uint64_t connection, http_request request, absl::Time started,
                                absl::Time now)
{
    auto head = parse_request_head(request, m_names);
    if (!is_ok(head))
        return reject_before_admission(connection, 400, get_error(head).message.c_str(), "",
                                       absl::ZeroDuration(), now);
    const std::string request_id = get_value(head).id.str();
    if (!m_index)
        return reject_before_admission(connection, 503, "configuration not loaded yet", request_id,
                                       unconfigured_retry_after, now);
    const auto match =
        m_index->match(get_value(head).host, get_value(head).target, get_value(head).key);
    if (!is_ok(match))
        return reject_before_admission(
            connection, get_error(match).code == result_code::unknown_route ? 404 : 401,
            get_error(match).message.c_str(), request_id, absl::ZeroDuration(), now);
    auto new_exchange = std::make_unique<exchange>();
    exchange& current = *new_exchange;
    current.id = m_next_exchange_id++;
    current.connection = connection;
    current.head = take_value(std::move(head));
    current.request = std::move(request);
    current.index = m_index;
    current.match = get_value(match);
    current.routing_sample = hash_to_unit_interval(request_id);
    current.arrived_at = started;
    const route& matched = *current.match.matched;
    current.give_up_at =
        started + std::min(matched.timeout - timeout_margin,
                           current.head.deadline.value_or(absl::InfiniteDuration()));
    current.rule =
        retry_rule({.max_attempts = matched.max_attempts, .may_repeat = matched.may_repeat()});
    // Independent of the sample for the version: otherwise the requests of a service with a small
    // part of the route would all go to its unproven version.
    const double service_sample = hash_to_unit_interval(absl::StrCat(request_id, "/service"));
    current.query = {.service = pick_service(matched, service_sample),
                     .prompt_tokens = current.head.prompt_tokens,
                     .prefix = current.head.prefix,
                     .homes = current.match.homes()};
    if (m_outcomes.take_trial(
            current.query.service, matched.name,
            m_settings.unproven_slack_requests * trial_slack_fraction / m_node_count, now))
        current.routing_sample = 0;
    measure_request(current);
    m_exchange_by_connection[connection] = current.id;
    m_exchanges.emplace(current.id, std::move(new_exchange));
    schedule(current);
    if (!m_shutdown.accepts(matched, current.give_up_at, now))
        return refuse(current, 503, "the node shuts down before the request would end",
                      shutdown_retry_after, now);
    if (const auto refusal = m_quarantine.refusal(current.head.prefix, now))
        return refuse(current, 503,
                      refusal->blocked ? "a part of the prompt crashes endpoints"
                                       : "a part of the prompt may crash endpoints",
                      refusal->retry_after, now);
    if (!admit(current, now))
        return;
    record_trial(current, now);
    retry_budget_for(current.query.service).on_first_attempt(now);
    m_requested_prompt_tokens[current.query.service] += current.head.prompt_tokens;
    try_endpoint(current, now);
}

bool request_runner::admit(exchange& current, absl::Time now)
{
    const workspace_spec* workspace = current.match.workspace;
    if (workspace == nullptr)
        return true;
    current.quota_cost = 1;
    if (workspace->counts_tokens)
        current.quota_cost =
            static_cast<double>(current.head.has_token_counts
                                    ? current.head.prompt_tokens + current.head.max_output_tokens
                                    : workspace->default_cost_tokens);
    const admission::token_quota::request asked{.cost = current.quota_cost,
                                                .priority = current.match.priority(),
                                                .sample = absl::Uniform(m_random, 0.0, 1.0)};
    const auto decision = m_quota.try_admit(workspace->name, asked, now);
    if (decision == admission::token_quota::decision::admitted)
        return true;
    current.quota_cost = 0;
    const bool is_local = decision == admission::token_quota::decision::share_spent;
    m_counters.add(absl::StrCat("chivedeal_quota_refused_total{priority=\"", asked.priority,
                                "\",reason=\"", is_local ? "share" : "limit", "\"}"),
                   1);
    refuse(current, 429,
           is_local ? "this node's share of the workspace limit is used up"
                    : "workspace limit reached",
           m_quota.retry_after(workspace->name, asked, absl::Uniform(m_random, 0.0, 1.0)), now);
    return false;
}

void request_runner::try_endpoint(exchange& current, absl::Time now)
{
    if (current.give_up_at - now < min_attempt_time)
        return on_timeout(current, now);
    // Try endpoints in turn until a connection accepts the request.
    while (true) {
        const auto choice = m_pool.choose(current.query, current.routing_sample, now);
        if (!is_ok(choice)) {
            const std::string reason = to_string(get_error(choice).code);
            m_counters.add(
                absl::StrCat("chivedeal_requests_without_endpoint_total{reason=\"", reason, "\"}"),
                1);
            return finish_failed(current, reason.c_str(), now);
        }
        current.attempt_choice = get_value(choice);
        current.last_choice = *current.attempt_choice;
        current.attempt_sent = false;
        current.attempt_head_received = false;
        current.attempt_body_started = false;
        current.reading_paused = false;
        current.attempt_started_at = now;
        current.attempt_deadline = absl::InfiniteFuture();
        current.response_head = {};
        current.foreign_head = {};
        drop_body(current);
        m_pool.on_sent(current.last_choice.id, current.last_choice.prefill_cost_tokens, now);
        const std::uint64_t exchange_id = current.id;
        std::string bytes = format_request(current, m_names, now);
        charge_request(current, bytes.size());
        const bool sent =
            m_endpoints.send({.exchange_id = current.id,
                              .endpoint = current.attempt_choice->id,
                              .address = current.attempt_choice->address,
                              .bytes = std::move(bytes),
                              .expected_id = current.head.id,
                              .is_head_request = current.head.method == "HEAD",
                              .max_connections = connection_limit(current.query.service)},
                             now);
        // The attempt may have ended inside `send`, and the exchange may have been destroyed.
        if (find_exchange(exchange_id) == nullptr)
            return;
        if (sent)
            break;
        m_pool.on_request_ended(current.attempt_choice->id, false);
        current.query.excluded.push_back(current.attempt_choice->id);
        current.attempt_choice.reset();
    }
    schedule(current);
}

void request_runner::on_request_sent(std::uint64_t exchange_id, absl::Time now)
{
    exchange* current = find_exchange(exchange_id);
    if (current == nullptr)
        return;
    current->attempt_sent = true;
    current->rule.on_sent();
    ++current->attempts_sent;
    if (current->match.matched->may_repeat() &&
        current->rule.attempts_sent() < current->match.matched->max_attempts) {
        const absl::Duration expected =
            current->attempt_choice->predicted_first_byte_time * attempt_timeout_factor +
            attempt_timeout_slack;
        current->attempt_deadline =
            now +
            std::min(expected, current->match.matched->latency_objective * attempt_timeout_factor);
        schedule(*current);
    }
}

void request_runner::on_response_head(std::uint64_t exchange_id, const http_response_head& head,
                                      absl::Time now)
{
    exchange* current = find_exchange(exchange_id);
    if (current == nullptr)
        return;
    current->response_head = head;
    current->attempt_head_received = true;
    record_response_head(*current, head, now);
    const bool is_signed =
        m_names.signature.empty() || find_field(head.fields, m_names.signature) != nullptr;
    const bool is_stream = current->match.matched->kind == route_kind::streaming &&
                           head.status == 200 && is_signed &&
                           find_field(head.fields, "Content-Encoding") == nullptr;
    if (current->relaying) {
        if (!is_stream || content_type(head) != current->stream_content_type)
            end_attempt(*current, refusal(head).value_or(attempt_outcome::broken),
                        "endpoint did not resume the stream", now);
        return;
    }
    if (is_stream)
        begin_relay(*current, head, now);
}

void request_runner::begin_relay(exchange& current, const http_response_head& head, absl::Time now)
{
    current.relaying = true;
    current.first_relayed_attempt = current.attempts_sent;
    current.stream_content_type = content_type(head);
    m_callers.begin_stream(current.connection,
                           {.status = head.status, .fields = end_to_end_fields(head.fields, {})},
                           now);
}

void request_runner::on_response_body(std::uint64_t exchange_id, std::string_view bytes,
                                      absl::Time now)
{
    exchange* current = find_exchange(exchange_id);
    if (current == nullptr)
        return;
    if (!current->relaying)
        return buffer_body(*current, bytes, now);
    const bool is_first = !current->attempt_body_started;
    if (is_first)
        record_first_byte(*current, now);
    else
        record_later_bytes(*current, bytes.size(), now);
    if (current->foreign_head.feed(bytes))
        return end_attempt(*current, attempt_outcome::broken, "response head inside a stream", now);
    if (!current->match.matched->resumable) {
        current->boundary.feed(bytes);
        m_callers.send_stream(current->connection, bytes, now);
    }
    else {
        const std::string events = current->events.feed(bytes);
        m_callers.send_stream(current->connection, events, now);
        if (find_exchange(exchange_id) == nullptr)
            return;
        if (current->events.partial_bytes() > max_event_bytes)
            return end_attempt(*current, attempt_outcome::broken, "event too long", now);
        // Bytes that complete no event don't count as progress: an endpoint that hangs may still
        // send one now and then.
        if (is_first || !events.empty()) {
            current->attempt_deadline =
                current->rule.attempts_sent() < current->match.matched->max_attempts
                    ? now + stream_idle_timeout
                    : absl::InfiniteFuture();
            schedule(*current);
        }
    }
    if (find_exchange(exchange_id) != nullptr &&
        m_callers.backlog(current->connection) > max_backlog_bytes) {
        current->reading_paused = true;
        m_endpoints.pause(exchange_id, true);
    }
}

void request_runner::buffer_body(exchange& current, std::string_view bytes, absl::Time now)
{
    if (current.response_body.size() + bytes.size() > max_response_body_bytes)
        return end_attempt(current, attempt_outcome::broken, "response body too long", now);
    current.response_body.append(bytes);
    m_buffered_body_bytes += bytes.size();
    m_callers.charge_response(current.connection, current.response_body.size());
    if (m_buffered_body_bytes > m_max_buffered_body_bytes)
        end_attempt(exchange_with_longest_body(), attempt_outcome::broken,
                    "response bodies use too much memory", now);
}

// The longest body is the most likely not to end, and its end frees the most memory. A body without
// an attempt is complete and about to be delivered.
exchange& request_runner::exchange_with_longest_body()
{
    const auto unfinished_bytes = [](const exchange& candidate) {
        return candidate.attempt_choice ? candidate.response_body.size() : 0;
    };
    const auto longest = std::max_element(m_exchanges.begin(), m_exchanges.end(),
                                          [&unfinished_bytes](const auto& left, const auto& right) {
                                              return unfinished_bytes(*left.second) <
                                                     unfinished_bytes(*right.second);
                                          });
    return *longest->second;
}

void request_runner::drop_body(exchange& current)
{
    m_buffered_body_bytes -= current.response_body.size();
    m_callers.charge_response(current.connection, 0);
    std::string().swap(current.response_body);
}

void request_runner::on_caller_writable(std::uint64_t connection)
{
    exchange* current = find_exchange_of(connection);
    if (current == nullptr)
        return;
    current->reading_paused = false;
    m_endpoints.pause(current->id, false);
}

void request_runner::on_response_end(std::uint64_t exchange_id, absl::Time now)
{
    exchange* current = find_exchange(exchange_id);
    if (current == nullptr)
        return;
    if (!current->relaying)
        return classify_response(*current, now);
    if (is_stream_cut_off(*current)) {
        record_lost_request(*current, now);
        return end_attempt(*current, attempt_outcome::broken, "stream ended inside an event", now);
    }
    m_pool.on_success(current->attempt_choice->id, now);
    record_sound_prompt(*current, now);
    const bool slow = current->first_byte_at - current->arrived_at >
                      current->match.matched->latency_objective * slow_response_factor;
    count_response(*current, stream_pace(*current), !slow, now);
    release_attempt(*current);
    m_callers.end_stream(current->connection, now);
    finish(*current, 200, "answered", now);
}

std::optional<attempt_outcome> request_runner::refusal(const http_response_head& head) const
{
    const bool wrong_endpoint = head.status == 421;
    if (!wrong_endpoint && find_field(head.fields, m_names.not_run) == nullptr)
        return std::nullopt;
    // The endpoint may have repeated the refusal of an earlier request while it runs this one.
    if (!head.is_attributed)
        return attempt_outcome::broken;
    return wrong_endpoint ? attempt_outcome::wrong_endpoint : attempt_outcome::refused;
}

void request_runner::classify_response(exchange& current, absl::Time now)
{
    const http_response_head& head = current.response_head;
    const int status = head.status;
    if (const auto outcome = refusal(head))
        return end_attempt(current, *outcome, "refused by the endpoint", now);
    const bool unsigned_success = status / 100 == 2 && !m_names.signature.empty() &&
                                  find_field(head.fields, m_names.signature) == nullptr;
    if (unsigned_success || find_field(head.fields, "Content-Encoding") != nullptr)
        return end_attempt(current, attempt_outcome::broken, "unsigned or content-encoded response",
                           now);
    if (status / 100 == 5 || implies_not_run(status))
        return end_attempt(current, attempt_outcome::failed, "error status from the endpoint", now);
    deliver_response(current, now);
}

void request_runner::deliver_response(exchange& current, absl::Time now)
{
    if (current.first_byte_at == absl::InfiniteFuture())
        record_first_byte(current, now);
    const int status = current.response_head.status;
    if (status / 100 == 2)
        record_sound_prompt(current, now);
    if (status / 100 != 5) {
        m_pool.on_success(current.attempt_choice->id, now);
        const absl::Duration elapsed = now - current.attempt_started_at;
        count_response(current, absl::ToDoubleMilliseconds(elapsed),
                       elapsed <= current.match.matched->latency_objective * slow_response_factor,
                       now);
    }
    release_attempt(current);
    m_callers.respond(
        current.connection,
        {.status = status, .fields = end_to_end_fields(current.response_head.fields, {})},
        current.response_body, now);
    finish(current, status, "answered", now);
}

void request_runner::on_attempt_failed(std::uint64_t exchange_id, attempt_failure failure,
                                       const char* reason, absl::Time now)
{
    exchange* current = find_exchange(exchange_id);
    if (current == nullptr)
        return;
    if (failure == attempt_failure::connection_lost)
        record_lost_request(*current, now);
    end_attempt(*current,
                failure == attempt_failure::not_sent ? attempt_outcome::not_sent
                                                     : attempt_outcome::broken,
                reason, now);
}

void request_runner::end_attempt(exchange& current, attempt_outcome outcome, const char* reason,
                                 absl::Time now)
{
    const endpoint_id endpoint = current.attempt_choice->id;
    m_endpoints.cancel(current.id);
    current.rule.on_outcome(outcome);
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
            record_timeout(current, now);
        else
            m_pool.on_failure(endpoint, now);
        count_failure(current, now);
        // The request probably ran and counts as usage. A stream that timed out without data more
        // likely still waits at the endpoint.
        if (outcome != attempt_outcome::timed_out ||
            current.match.matched->kind != route_kind::streaming)
            count_usage(current, now);
        break;
    }
    m_counters.add("chivedeal_attempts_failed_total", 1);
    log_event(event_id::attempt_failed,
              {{"request", current.head.id.str()},
               {"endpoint", endpoint.str()},
               {"reason", reason},
               {"after_ms", format_milliseconds(now - current.attempt_started_at)},
               {"parts", shared_part_ids(current.head.prefix)},
               {"attempt", absl::StrCat(current.attempts_sent)}});
    retry_or_fail(current, outcome, now);
}

void request_runner::retry_or_fail(exchange& current, attempt_outcome outcome, absl::Time now)
{
    const endpoint_choice failed = *current.attempt_choice;
    const bool is_retry = current.rule.is_retry();
    const bool retries = current.rule.may_retry() &&
                         !m_quarantine.is_suspect(current.head.prefix) &&
                         current.give_up_at - now >= min_attempt_time &&
                         (!is_retry || retry_budget_for(current.query.service).try_spend(now));
    if (retries) {
        release_attempt(current);
        current.query.excluded.push_back(failed.id);
        current.events.drop_partial();
        m_counters.add("chivedeal_attempts_retried_total", 1);
        return try_endpoint(current, now);
    }
    if (current.relaying) {
        release_attempt(current);
        m_callers.abort(current.connection);
        return finish(current, 0, "stream interrupted", now);
    }
    // The endpoint's own error response is passed on, unless its status would tell the caller that
    // the request did not run.
    if (outcome == attempt_outcome::failed && !implies_not_run(current.response_head.status))
        return deliver_response(current, now);
    release_attempt(current);
    finish_failed(current, "no further attempt allowed", now);
}

void request_runner::finish_failed(exchange& current, const char* reason, absl::Time now)
{
    if (current.relaying) {
        m_callers.abort(current.connection);
        return finish(current, 0, reason, now);
    }
    if (current.rule.may_have_run())
        return refuse(current, 502, reason, absl::ZeroDuration(), now);
    refuse(current, 503, reason, retry_delay(current, now), now);
}

absl::Duration request_runner::retry_delay(const exchange& current, absl::Time now)
{
    const auto retry_at = m_pool.retry_time(current.query, now);
    if (!retry_at)
        return default_retry_after;
    const double spread = retry_spread_per_priority * current.match.priority() +
                          retry_spread * absl::Uniform(m_random, 0.0, 1.0);
    return std::max(default_retry_after, *retry_at - now) * (1 + spread);
}

void request_runner::on_timeout(exchange& current, absl::Time now)
{
    const bool silent =
        current.attempt_choice && current.attempt_sent && !current.attempt_head_received;
    if (current.attempt_choice) {
        m_endpoints.cancel(current.id);
        if (silent)
            record_timeout(current, now);
        count_failure(current, now);
        release_attempt(current);
    }
    if (current.relaying) {
        m_callers.abort(current.connection);
        return finish(current, 0, "timeout during a stream", now);
    }
    if (current.rule.may_have_run())
        return refuse(current, 504, "timeout", absl::ZeroDuration(), now);
    refuse(current, 503, "timeout before the request ran", default_retry_after, now);
}

void request_runner::end_all(absl::Time now)
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, current] : m_exchanges)
        ids.push_back(id);
    for (const std::uint64_t id : ids) {
        exchange* current = find_exchange(id);
        if (current == nullptr)
            continue;
        m_endpoints.cancel(id);
        release_attempt(*current);
        finish_failed(*current, "the node shuts down", now);
    }
}

void request_runner::on_caller_disconnected(std::uint64_t connection, absl::Time now)
{
    exchange* current = find_exchange_of(connection);
    if (current == nullptr)
        return;
    m_endpoints.cancel(current->id);
    // Callers have less patience than the route's timeout, and would hide an endpoint that hangs.
    if (is_overdue(*current, now)) {
        m_counters.add("chivedeal_requests_abandoned_total", 1);
        count_failure(*current, now);
    }
    release_attempt(*current);
    finish(*current, 0, "caller disconnected", now);
}

void request_runner::release_attempt(exchange& current)
{
    if (!current.attempt_choice)
        return;
    m_pool.on_request_ended(current.attempt_choice->id, current.attempt_body_started);
    current.attempt_choice.reset();
}

void request_runner::refuse(exchange& current, int status, const char* reason,
                            absl::Duration retry_after, absl::Time now)
{
    std::vector<http_field> fields{{m_names.request_id, current.head.id.str()}};
    if (retry_after > absl::ZeroDuration())
        fields.push_back({"Retry-After", format_retry_after(retry_after)});
    if (current.quota_cost > 0 && !current.rule.may_have_run() &&
        current.match.workspace != nullptr)
        m_quota.give_back(current.match.workspace->name, current.quota_cost);
    m_callers.respond(current.connection, {.status = status, .fields = std::move(fields)}, "", now);
    finish(current, status, reason, now);
}

void request_runner::reject_before_admission(std::uint64_t connection, int status,
                                             const char* reason, const std::string& request_id,
                                             absl::Duration retry_after, absl::Time now)
{
    std::vector<http_field> fields;
    if (!request_id.empty())
        fields.push_back({m_names.request_id, request_id});
    if (retry_after > absl::ZeroDuration())
        fields.push_back({"Retry-After", format_retry_after(retry_after)});
    m_counters.add("chivedeal_requests_refused_total", 1);
    log_event(event_id::request_refused,
              {{"request", request_id}, {"status", absl::StrCat(status)}, {"reason", reason}});
    m_callers.respond(connection, {.status = status, .fields = std::move(fields)}, "", now);
}

void request_runner::finish(exchange& current, int status, const char* reason, absl::Time now)
{
    m_counters.add("chivedeal_requests_total", 1);
    if (status / 100 == 2 || status == 504)
        m_shutdown.on_response(current.match.matched->name, now - current.arrived_at);
    if (current.first_byte_at != absl::InfiniteFuture())
        m_counters.observe("chivedeal_first_byte_seconds",
                           absl::ToDoubleSeconds(current.first_byte_at - current.arrived_at));
    log_event(event_id::request_finished,
              {{"request", current.head.id.str()},
               {"route", current.match.matched->name},
               {"workspace",
                current.match.workspace == nullptr ? "" : current.match.workspace->name.str()},
               {"priority", absl::StrCat(current.match.priority())},
               {"endpoint", current.last_choice.id.str()},
               {"predicted_ms", format_milliseconds(current.last_choice.predicted_first_byte_time)},
               {"cached_tokens", absl::StrCat(current.last_choice.cached_tokens)},
               {"requests_ahead", absl::StrCat(current.last_choice.expected_work.requests)},
               {"limit", absl::StrFormat("%.1f", current.last_choice.concurrency_limit)},
               {"candidates", absl::StrCat(current.last_choice.candidates)},
               {"status", absl::StrCat(status)},
               {"reason", reason},
               {"attempts", absl::StrCat(current.attempts_sent)},
               {"first_ms", current.first_byte_at == absl::InfiniteFuture()
                                ? "none"
                                : format_milliseconds(current.first_byte_at - current.arrived_at)},
               {"total_ms", format_milliseconds(now - current.arrived_at)},
               {"config", absl::StrCat(current.index->config().version)}});
    drop_body(current);
    m_timers.erase({current.timer_at, current.id});
    m_exchange_by_connection.erase(current.connection);
    m_exchanges.erase(current.id);
}

void request_runner::schedule(exchange& current)
{
    const absl::Time due = std::min(current.give_up_at, current.attempt_deadline);
    if (due == current.timer_at)
        return;
    m_timers.erase({current.timer_at, current.id});
    current.timer_at = due;
    m_timers.emplace(due, current.id);
}

absl::Time request_runner::tick(absl::Time now)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        exchange& current = *m_exchanges.at(m_timers.begin()->second);
        if (now >= current.give_up_at) {
            on_timeout(current, now);
        }
        else if (current.attempt_choice && current.attempt_sent) {
            current.attempt_deadline = absl::InfiniteFuture();
            schedule(current);
            // If no further attempt is allowed, keep waiting for the current one.
            if (current.rule.may_retry() &&
                current.rule.attempts_sent() < current.match.matched->max_attempts)
                end_attempt(current, attempt_outcome::timed_out,
                            "no data from the endpoint in time", now);
        }
        else {
            current.attempt_deadline = absl::InfiniteFuture();
            schedule(current);
        }
    }
    report_quarantine_changes();
    return m_timers.empty() ? absl::InfiniteFuture() : m_timers.begin()->first;
}

requests::retry_budget& request_runner::retry_budget_for(const service_id& service)
{
    auto& budget = m_retry_budgets[service];
    if (!budget)
        // Over one window the budget grants twice its minimum, hence the division by two.
        budget = std::make_unique<requests::retry_budget>(
            requests::retry_budget::options{.ratio = m_settings.retry_ratio * retry_budget_fraction,
                                            .min_retries = m_settings.retry_slack_requests *
                                                           retry_budget_fraction / 2 / m_node_count,
                                            .window = m_settings.retry_window});
    return *budget;
}

int request_runner::connection_limit(const service_id& service) const
{
    const service_spec* spec = m_index->find_service(service);
    if (spec == nullptr || spec->max_connections <= 0)
        return 64;
    return std::max(2, spec->max_connections * 9 / 10 / m_node_count);
}

exchange* request_runner::find_exchange_of(std::uint64_t connection)
{
    const auto found = m_exchange_by_connection.find(connection);
    return found == m_exchange_by_connection.end() ? nullptr : find_exchange(found->second);
}

exchange* request_runner::find_exchange(std::uint64_t exchange_id)
{
    const auto found = m_exchanges.find(exchange_id);
    return found == m_exchanges.end() ? nullptr : found->second.get();
}

} // namespace chivedeal::forward
