#include "chivedeal/forward/endpoint_pool.hpp"

#include "chivedeal/endpoints/endpoint_selector.hpp"
#include "chivedeal/forward/prompt_affinity.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chivedeal::forward {

namespace {

// Covers a latency of about 12 ms each way, and a penalty because traffic between regions is billed
// by volume.
constexpr double remote_region_link_ms = 120;
constexpr double own_region_link_ms = 4;
// Part of a response time from another region that isn't the endpoint's: 12 ms each way.
constexpr double remote_region_round_trip_ms = 24;
// Share of an unexpected delay that is attributed to a backlog, and the limit of that delay.
constexpr double backlog_share_of_lateness = 0.3;
constexpr absl::Duration max_counted_lateness = absl::Seconds(1);
// For each request beyond an endpoint's concurrency limit: the wait for a free slot of an endpoint
// without observations. Other endpoints are used first, but none in another region for one request
// too many.
constexpr double over_limit_penalty_ms = 60;
// Added to the predicted time of an endpoint that fails all requests, and scaled by its failure
// share otherwise.
constexpr double full_failure_penalty_ms = 2000;
// A shared prefix of at least this many tokens has one rendezvous endpoint across all regions, as
// reading it again costs more than the link to another region. Shorter ones have one per region.
constexpr std::int64_t min_global_affinity_tokens = 2000;
// Penalty for each shared token that is read again, as this also delays other requests. With a
// lower value, requests leave an endpoint that holds their shared part although it is only busy.
constexpr double reread_penalty_ms_per_token = 0.04;
constexpr absl::Duration cached_part_lifetime = absl::Seconds(60);
constexpr std::size_t max_cached_parts = 512;
// Limits the effect of callers that announce longer prompts than they send. Requests that would
// wait longer have timed out.
constexpr absl::Duration max_prefill_backlog = absl::Minutes(1);
// Peers are notified at once of prompts of at least this many tokens. Reading one takes longer than
// most requests can wait for their first event in addition to reading their own prompt.
constexpr std::int64_t min_notice_tokens = 3000;
// Time for which an endpoint stays in load reports after its last use. A node sends several reports
// in this time, so that each request is included in at least one that arrives.
constexpr absl::Duration load_report_window = absl::Milliseconds(1500);
// How long the demands of an endpoint without a record are kept, which may only have lost its
// record while it leaves.
constexpr absl::Duration demand_retention = absl::Minutes(30);
// Failing endpoints stay in use if they outnumber this fraction of the allowed ones: the cause is
// then unlikely to be the endpoints alone, and the others can't take all requests.
constexpr double max_failing_ratio = 0.5;

// Callers choose the names, which may be long, and there may be thousands of endpoints.
std::uint64_t hash_of_part(const prompt_part& part)
{
    return XXH3_64bits(part.id.data(), part.id.size());
}

} // namespace

void endpoint_pool::update(const endpoint_record& record)
{
    auto& endpoint = m_endpoints[record.id];
    const bool is_known = !endpoint.record.id.empty();
    const bool is_restarted =
        is_known && (endpoint.record.started_at_unix_ms != record.started_at_unix_ms ||
                     endpoint.record.address != record.address);
    if (is_known && endpoint.record.service != record.service)
        remove(record.id);
    auto& current = m_endpoints[record.id];
    if (is_restarted) {
        current.cached_parts.clear();
        current.health = {};
    }
    if (current.record.id.empty() || is_restarted) {
        const int own_requests = current.estimator.own_requests();
        current.estimator = endpoints::endpoint_estimator(service_model(record.service));
        for (int i = 0; i < own_requests; ++i)
            current.estimator.on_sent();
    }
    current.record = record;
    const auto region = m_options.zones.find(record.zone);
    current.is_in_own_region =
        region == m_options.zones.end() || region->second == m_options.region;
    current.estimator.set_slots(record.slots);
    current.removal_due = absl::InfiniteFuture();
    apply_demand(current);
    auto& service_endpoints = m_ids_by_service[record.service];
    if (std::find(service_endpoints.begin(), service_endpoints.end(), record.id) ==
        service_endpoints.end())
        service_endpoints.push_back(record.id);
    service_model(record.service)->endpoints = static_cast<int>(service_endpoints.size());
}

std::shared_ptr<endpoints::service_model> endpoint_pool::service_model(const service_id& service)
{
    auto& model = m_service_models[service];
    if (model == nullptr)
        model = std::make_shared<endpoints::service_model>();
    return model;
}

endpoint_pool::endpoint_state* endpoint_pool::find(const endpoint_id& id)
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

void endpoint_pool::remove(const endpoint_id& id)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    auto& service_endpoints = m_ids_by_service[found->second.record.service];
    service_endpoints.erase(std::remove(service_endpoints.begin(), service_endpoints.end(), id),
                            service_endpoints.end());
    service_model(found->second.record.service)->endpoints =
        static_cast<int>(service_endpoints.size());
    for (auto& [peer, loads] : m_peer_loads)
        loads.erase(id);
    m_endpoints.erase(found);
}

void endpoint_pool::schedule_removal(const endpoint_id& id, absl::Time due)
{
    if (endpoint_state* endpoint = find(id))
        endpoint->removal_due = due;
}

endpoint_pool::endpoint_demand& endpoint_pool::demand_of(const endpoint_choice& endpoint,
                                                         absl::Time now)
{
    absl::erase_if(m_demands, [this, now](const auto& entry) {
        return !m_endpoints.contains(entry.first) && now > entry.second.retry_at &&
               now - entry.second.updated_at > demand_retention;
    });
    endpoint_demand& demand = m_demands[endpoint.id];
    if (demand.endpoint_address != endpoint.address ||
        demand.started_at_unix_ms != endpoint.started_at_unix_ms)
        demand = {.endpoint_address = endpoint.address,
                  .started_at_unix_ms = endpoint.started_at_unix_ms};
    demand.updated_at = now;
    return demand;
}

void endpoint_pool::apply_demand(endpoint_state& endpoint) const
{
    const auto known = m_demands.find(endpoint.record.id);
    const bool applies = known != m_demands.end() &&
                         known->second.endpoint_address == endpoint.record.address &&
                         known->second.started_at_unix_ms == endpoint.record.started_at_unix_ms;
    endpoint.announced_leaving = applies && known->second.announced_leaving;
    endpoint.retry_at = applies ? known->second.retry_at : absl::InfinitePast();
}

bool endpoint_pool::on_announced_leaving(const endpoint_choice& endpoint, absl::Time now)
{
    const bool was_known = std::exchange(demand_of(endpoint, now).announced_leaving, true);
    const auto found = m_endpoints.find(endpoint.id);
    if (found != m_endpoints.end())
        apply_demand(found->second);
    return !was_known;
}

void endpoint_pool::on_retry_after(const endpoint_choice& endpoint, absl::Time retry_at,
                                   absl::Time now)
{
    endpoint_demand& demand = demand_of(endpoint, now);
    demand.retry_at = std::max(demand.retry_at, retry_at);
    const auto found = m_endpoints.find(endpoint.id);
    if (found != m_endpoints.end())
        apply_demand(found->second);
}

std::optional<absl::Time> endpoint_pool::retry_time(const endpoint_query& query,
                                                    absl::Time now) const
{
    const auto service_endpoints = m_ids_by_service.find(query.service);
    if (service_endpoints == m_ids_by_service.end())
        return std::nullopt;
    absl::Time earliest = absl::InfiniteFuture();
    for (const endpoint_id& id : service_endpoints->second) {
        const endpoint_state& endpoint = m_endpoints.at(id);
        const regions::gate_verdict verdict = m_gate.check(endpoint.record, query.homes, now);
        if (verdict >= regions::gate_verdict::no_cold_permit && !is_leaving(endpoint, now))
            earliest = std::min(earliest, endpoint.retry_at);
    }
    return earliest > now && earliest < absl::InfiniteFuture() ? std::optional(earliest)
                                                               : std::nullopt;
}

bool endpoint_pool::is_leaving(const endpoint_state& endpoint, absl::Time now)
{
    return endpoint.record.leaving || endpoint.announced_leaving || now >= endpoint.removal_due;
}

void endpoint_pool::set_version_split(const service_id& service, std::optional<version_split> split)
{
    if (split)
        m_version_splits.insert_or_assign(service, *std::move(split));
    else
        m_version_splits.erase(service);
}

result<endpoint_choice> endpoint_pool::choose(const endpoint_query& query, double random,
                                              absl::Time now) const
{
    const auto service_endpoints = m_ids_by_service.find(query.service);
    if (service_endpoints == m_ids_by_service.end() || service_endpoints->second.empty())
        return error{.code = result_code::unknown_service,
                     .message = "the service has no endpoint"};
    const auto candidates = eligible_endpoints(query, random, now);
    if (candidates.empty())
        return error{.code = refusal_code(query, now), .message = "no endpoint can be used"};

    const std::string affinity_part = affinity_part_id(query);
    const bool is_global = shared_tokens(query) >= min_global_affinity_tokens;
    const endpoint_state* rendezvous_endpoint = nullptr;
    std::uint64_t best_score = 0;
    std::string buffer;
    for (const endpoint_state* endpoint : candidates) {
        if (affinity_part.empty() || (!is_global && !is_in_own_region(*endpoint)))
            continue;
        const std::uint64_t score = rendezvous_score(affinity_part, endpoint->record.id, buffer);
        if (rendezvous_endpoint == nullptr || score > best_score) {
            rendezvous_endpoint = endpoint;
            best_score = score;
        }
    }
    std::vector<endpoints::scored_endpoint> scores;
    scores.reserve(candidates.size());
    for (const endpoint_state* endpoint : candidates) {
        const std::int64_t cached_prompt_tokens =
            cached_tokens(*endpoint, query, endpoint == rendezvous_endpoint, now);
        scores.push_back({.predicted_ms = predict_ms(*endpoint, query, cached_prompt_tokens, now),
                          .cached_tokens = cached_prompt_tokens,
                          .is_full = is_full(*endpoint, requests_in_flight(*endpoint, now), now),
                          .is_in_own_region = is_in_own_region(*endpoint)});
    }
    const std::size_t selected = endpoints::select_endpoint(scores, m_peer_loads.size(), random);
    const endpoints::scored_endpoint& picked = scores[selected];
    const endpoint_state& chosen = *candidates[selected];
    // A report that is false or out of date must not lead to a refusal.
    if (picked.is_full && is_full(chosen, known_requests(chosen), now))
        return error{.code = result_code::shed, .message = "all endpoints are full"};
    const double cost =
        prefill_cost_tokens(query.prompt_tokens - picked.cached_tokens, picked.cached_tokens);
    const double backlog_ms =
        std::max(0.0, absl::ToDoubleMilliseconds(chosen.prefill_done_at - now));
    return endpoint_choice{
        .id = chosen.record.id,
        .address = chosen.record.address,
        .version = chosen.record.version,
        .started_at_unix_ms = chosen.record.started_at_unix_ms,
        .predicted_first_byte_time = absl::Milliseconds(picked.predicted_ms),
        .cached_tokens = picked.cached_tokens,
        .prefill_cost_tokens = static_cast<std::int64_t>(cost),
        .expected_work = {.prompt_cost_tokens =
                              cost + backlog_ms * chosen.estimator.prompt_tokens_per_ms(now),
                          .requests = requests_in_flight(chosen, now)},
        .concurrency_limit = chosen.estimator.concurrency_limit(now),
        .candidates = static_cast<int>(candidates.size())};
}

int endpoint_pool::known_requests(const endpoint_state& endpoint)
{
    return endpoint.estimator.own_requests() + endpoint.peer_requests;
}

int endpoint_pool::requests_in_flight(const endpoint_state& endpoint, absl::Time now)
{
    return endpoint.estimator.requests_in_flight(known_requests(endpoint), now);
}

bool endpoint_pool::is_full(const endpoint_state& endpoint, int requests, absl::Time now)
{
    // Nothing is refused while slots are free, although the endpoint may be slow already.
    return requests >=
           std::max<double>(endpoint.estimator.concurrency_limit(now), endpoint.record.slots);
}

std::vector<const endpoint_pool::endpoint_state*>
endpoint_pool::eligible_endpoints(const endpoint_query& query, double random, absl::Time now) const
{
    const auto found_split = m_version_splits.find(query.service);
    const version_split* split =
        found_split == m_version_splits.end() ? nullptr : &found_split->second;
    std::array<candidate_list, 3> groups;
    std::array<bool, 3> can_serve{};
    for (const endpoint_id& id : m_ids_by_service.at(query.service)) {
        const endpoint_state& endpoint = m_endpoints.at(id);
        // Checked first: none of the lists below may contain an endpoint that isn't allowed.
        if (m_gate.check(endpoint.record, query.homes, now) != regions::gate_verdict::allowed)
            continue;
        const bool is_excluded =
            std::find(query.excluded.begin(), query.excluded.end(), id) != query.excluded.end();
        if (is_leaving(endpoint, now))
            continue;
        const version_group part = group_of(endpoint, split);
        const auto group = static_cast<std::size_t>(part);
        can_serve.at(group) |=
            part == version_group::stable && !endpoint.health.is_unreachable(now);
        if (now < endpoint.retry_at || is_excluded)
            continue;
        const endpoint_health::state health =
            endpoint.health.state_at(now, endpoint.prefill_done_at);
        can_serve.at(group) |= health == endpoint_health::state::usable;
        candidate_list& candidates = groups.at(group);
        switch (health) {
        case endpoint_health::state::usable:
            candidates.usable.push_back(&endpoint);
            break;
        case endpoint_health::state::paused:
            candidates.paused.push_back(&endpoint);
            break;
        case endpoint_health::state::failing:
            candidates.failing.push_back(&endpoint);
            break;
        }
    }
    candidate_list candidates;
    for (const version_group allowed : groups_for(split, random, can_serve)) {
        const candidate_list& group = groups.at(static_cast<std::size_t>(allowed));
        if (candidates.usable.empty())
            candidates.usable = group.usable;
        candidates.paused.insert(candidates.paused.end(), group.paused.begin(), group.paused.end());
        candidates.failing.insert(candidates.failing.end(), group.failing.begin(),
                                  group.failing.end());
    }
    std::vector<const endpoint_state*>& eligible = candidates.usable;
    if (static_cast<double>(candidates.failing.size()) >
        max_failing_ratio * static_cast<double>(eligible.size()))
        eligible.insert(eligible.end(), candidates.failing.begin(), candidates.failing.end());
    // If all endpoints are paused, try one instead of refusing: it may be usable again already.
    return eligible.empty() ? candidates.paused : eligible;
}

// Returns why no endpoint can be used: the reason of the endpoints that came closest.
result_code endpoint_pool::refusal_code(const endpoint_query& query, absl::Time now) const
{
    auto verdict = regions::gate_verdict::outside_home_regions;
    for (const endpoint_id& id : m_ids_by_service.at(query.service))
        verdict = std::max(verdict, m_gate.check(m_endpoints.at(id).record, query.homes, now));
    switch (verdict) {
    case regions::gate_verdict::outside_home_regions:
        return result_code::outside_home_regions;
    case regions::gate_verdict::zone_evacuated:
        return result_code::zone_evacuated;
    case regions::gate_verdict::no_cold_permit:
        return result_code::endpoints_cold;
    case regions::gate_verdict::allowed:
        break;
    }
    return result_code::no_endpoint;
}

endpoint_pool::version_group endpoint_pool::group_of(const endpoint_state& endpoint,
                                                     const version_split* split)
{
    const version_id& version = endpoint.record.version;
    if (split == nullptr)
        return version_group::stable;
    if (version == split->version)
        return version_group::target;
    return split->stable.empty() || split->stable.count(version) > 0 ? version_group::stable
                                                                     : version_group::abandoned;
}

std::vector<endpoint_pool::version_group>
endpoint_pool::groups_for(const version_split* split, double random,
                          const std::array<bool, 3>& can_serve)
{
    if (split == nullptr)
        return {version_group::stable};
    const auto serves = [&can_serve](version_group group) {
        return can_serve.at(static_cast<std::size_t>(group));
    };
    std::vector<version_group> allowed;
    // All endpoints are checked with the same `random`, so a request goes to one side of the split.
    if (random < split->share)
        allowed.push_back(version_group::target);
    allowed.push_back(version_group::stable);
    // Stable versions that fail or refuse requests keep theirs: otherwise their trouble would give a
    // version that isn't proven nearly all traffic.
    if (serves(version_group::stable))
        return allowed;
    if (random >= split->share && split->share > 0)
        allowed.push_back(version_group::target);
    // An abandoned version may be bad: it serves only what nothing else can.
    if (!serves(version_group::target) || split->share <= 0)
        allowed.push_back(version_group::abandoned);
    return allowed;
}

bool endpoint_pool::is_in_own_region(const endpoint_state& endpoint)
{
    return endpoint.is_in_own_region;
}

std::int64_t endpoint_pool::cached_tokens(const endpoint_state& endpoint,
                                          const endpoint_query& query, bool is_rendezvous_endpoint,
                                          absl::Time now) const
{
    if (endpoint.cached_parts.empty() && !is_rendezvous_endpoint)
        return 0;
    std::int64_t cached_prompt_tokens = 0;
    for (const prompt_part& part : query.prefix) {
        const auto known = endpoint.cached_parts.find(hash_of_part(part));
        const bool is_cached =
            known != endpoint.cached_parts.end() && now - known->second < cached_part_lifetime;
        const bool is_shared = &part != &query.prefix.back();
        // Peers send the same shared parts to the rendezvous endpoint, so it probably has them
        // cached.
        if (!is_cached && !(is_rendezvous_endpoint && is_shared))
            break;
        cached_prompt_tokens += part.tokens;
    }
    return std::min(cached_prompt_tokens, query.prompt_tokens);
}

double endpoint_pool::predict_ms(const endpoint_state& endpoint, const endpoint_query& query,
                                 std::int64_t cached_prompt_tokens, absl::Time now) const
{
    const absl::Duration prefill_backlog =
        std::max(absl::ZeroDuration(), endpoint.prefill_done_at - now);
    const int requests = requests_in_flight(endpoint, now);
    const double excess_requests =
        std::max(0.0, requests + 1 - std::ceil(endpoint.estimator.concurrency_limit(now)));
    double predicted_ms =
        absl::ToDoubleMilliseconds(prefill_backlog) +
        endpoint.estimator.predict_ms(
            prefill_cost_tokens(query.prompt_tokens - cached_prompt_tokens, cached_prompt_tokens),
            requests, now) +
        static_cast<double>(
            std::max<std::int64_t>(0, shared_tokens(query) - cached_prompt_tokens)) *
            reread_penalty_ms_per_token +
        over_limit_penalty_ms * excess_requests +
        full_failure_penalty_ms * endpoint.health.failure_share();
    predicted_ms += is_in_own_region(endpoint) ? own_region_link_ms : remote_region_link_ms;
    return predicted_ms;
}

void endpoint_pool::add_prefill(endpoint_state& endpoint, std::int64_t tokens, absl::Time now)
{
    endpoint.prefill_done_at =
        std::min(now + max_prefill_backlog,
                 std::max(endpoint.prefill_done_at, now) +
                     absl::Milliseconds(static_cast<double>(tokens) /
                                        endpoint.estimator.prompt_tokens_per_ms(now)));
}

void endpoint_pool::on_sent(const endpoint_id& id, std::int64_t prefill_cost_tokens, absl::Time now)
{
    endpoint_state* found = find(id);
    if (found == nullptr)
        return;
    endpoint_state& endpoint = *found;
    m_gate.on_sent(id, now);
    endpoint.estimator.on_sent();
    endpoint.health.on_sent(now);
    endpoint.own_sent_tokens += prefill_cost_tokens;
    endpoint.last_used = now;
    add_prefill(endpoint, prefill_cost_tokens, now);
    if (prefill_cost_tokens >= min_notice_tokens)
        m_notices.push_back(
            {.node = m_options.self, .endpoint = id, .tokens = prefill_cost_tokens});
}

void endpoint_pool::on_first_byte(const endpoint_id& id, const endpoint_query& query,
                                  absl::Duration lateness, absl::Time now)
{
    endpoint_state* found = find(id);
    if (found == nullptr)
        return;
    endpoint_state& endpoint = *found;
    endpoint.health.on_response_started(now);
    m_gate.on_answered(id, now);
    // A late response indicates a backlog that this node doesn't know of; part of it remains.
    if (lateness > absl::ZeroDuration())
        endpoint.prefill_done_at =
            std::max(endpoint.prefill_done_at, now) +
            std::min(lateness, max_counted_lateness) * backlog_share_of_lateness;
    if (endpoint.cached_parts.size() > max_cached_parts)
        endpoint.cached_parts.clear();
    const std::size_t parts = std::min(query.prefix.size(), max_cached_parts);
    for (std::size_t i = 0; i < parts; ++i)
        endpoint.cached_parts[hash_of_part(query.prefix[i])] = now;
}

void endpoint_pool::on_response_time(const endpoint_choice& endpoint, absl::Duration elapsed,
                                     absl::Time now)
{
    endpoint_state* state = find(endpoint.id);
    // The estimate of a restarted endpoint starts anew.
    if (state == nullptr || state->record.started_at_unix_ms != endpoint.started_at_unix_ms)
        return;
    const double link_ms =
        is_in_own_region(*state) ? own_region_link_ms : remote_region_round_trip_ms;
    state->estimator.on_first_byte(endpoint.expected_work, elapsed - absl::Milliseconds(link_ms),
                                   now);
}

void endpoint_pool::on_no_response(const endpoint_choice& endpoint, absl::Duration elapsed,
                                   absl::Time now)
{
    // The response would have taken longer. A request that was given up early says nothing.
    if (elapsed > endpoint.predicted_first_byte_time)
        on_response_time(endpoint, elapsed, now);
}

void endpoint_pool::on_load_reading(const endpoint_id& id, const endpoints::load_reading& reading,
                                    absl::Time now)
{
    if (endpoint_state* endpoint = find(id))
        endpoint->estimator.on_load_header(reading, known_requests(*endpoint), now);
}

int endpoint_pool::slowed_endpoints(absl::Time now) const
{
    return static_cast<int>(
        std::count_if(m_endpoints.begin(), m_endpoints.end(), [now](const auto& entry) {
            const endpoint_state& endpoint = entry.second;
            return endpoint.estimator.concurrency_limit(now) < endpoint.record.slots;
        }));
}

void endpoint_pool::on_bytes(const endpoint_id& id, absl::Time now)
{
    if (endpoint_state* endpoint = find(id))
        endpoint->health.on_bytes(now);
}

void endpoint_pool::on_request_ended(const endpoint_id& id, bool answered)
{
    endpoint_state* found = find(id);
    if (found == nullptr)
        return;
    endpoint_state& endpoint = *found;
    if (answered)
        return endpoint.estimator.on_completed();
    endpoint.estimator.on_failed();
    endpoint.health.on_ended_without_response();
}

void endpoint_pool::on_success(const endpoint_id& id, absl::Time now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    ++found->second.own_answered;
    found->second.last_used = now;
    found->second.health.on_outcomes(1, 0, now);
}

void endpoint_pool::on_failure(const endpoint_id& id, absl::Time now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    ++found->second.own_failed;
    found->second.last_used = now;
    found->second.health.on_outcomes(0, 1, now);
}

void endpoint_pool::on_timeout(const endpoint_id& id, absl::Time now)
{
    if (endpoint_state* endpoint = find(id))
        endpoint->health.on_outcomes(0, 1, now);
}

void endpoint_pool::on_unreachable(const endpoint_id& id, absl::Time now)
{
    if (endpoint_state* endpoint = find(id))
        endpoint->health.on_unreachable(now);
    m_gate.on_unreachable(id);
}

void endpoint_pool::on_refused(const endpoint_id& id, absl::Time now)
{
    if (endpoint_state* endpoint = find(id))
        endpoint->health.on_refused(now);
}

void endpoint_pool::set_peer_load(const node_id& peer, const std::vector<endpoint_load>& loads,
                                  absl::Time now)
{
    const bool is_new_peer = m_peer_loads.find(peer) == m_peer_loads.end();
    loads_by_endpoint& peer_load = m_peer_loads[peer];
    add_peer_load(peer_load, -1);
    for (auto& [id, load] : peer_load) {
        load.requests = 0;
        load.is_silent = false;
    }
    for (const endpoint_load& load : loads) {
        const auto found = m_endpoints.find(load.endpoint);
        if (found == m_endpoints.end())
            continue;
        const auto previous = peer_load.find(load.endpoint);
        if (previous != peer_load.end()) {
            const endpoint_load& last_load = previous->second;
            if (load.sent_prefill_tokens > last_load.sent_prefill_tokens)
                add_prefill(found->second, load.sent_prefill_tokens - last_load.sent_prefill_tokens,
                            now);
            found->second.health.on_outcomes(load.answered - last_load.answered,
                                             load.failed - last_load.failed, now);
        }
        else if (!is_new_peer) {
            // The peer has not reported this endpoint before. Its totals may include old requests,
            // so at most one of each outcome counts as recent.
            found->second.health.on_outcomes(std::min<std::int64_t>(load.answered, 1),
                                             std::min<std::int64_t>(load.failed, 1), now);
        }
        // Repeated reports of the same responses count once.
        if (previous == peer_load.end() || load.answered > previous->second.answered ||
            load.pace_percent != previous->second.pace_percent)
            found->second.estimator.on_peer_pace(load.pace_percent / 100.0, now);
        // A prompt notice may have arrived before this older report.
        endpoint_load merged = load;
        if (previous != peer_load.end())
            merged.sent_prefill_tokens =
                std::max(merged.sent_prefill_tokens, previous->second.sent_prefill_tokens);
        peer_load.insert_or_assign(load.endpoint, merged);
    }
    add_peer_load(peer_load, 1);
}

void endpoint_pool::on_peer_prompt(const prompt_notice& notice, absl::Time now)
{
    const auto found = m_endpoints.find(notice.endpoint);
    const auto peer = m_peer_loads.find(notice.node);
    if (found == m_endpoints.end() || peer == m_peer_loads.end())
        return;
    add_prefill(found->second, notice.tokens, now);
    const auto known = peer->second.find(notice.endpoint);
    if (known != peer->second.end())
        known->second.sent_prefill_tokens += notice.tokens;
}

void endpoint_pool::forget_peer(const node_id& peer)
{
    const auto known = m_peer_loads.find(peer);
    if (known == m_peer_loads.end())
        return;
    add_peer_load(known->second, -1);
    m_peer_loads.erase(known);
}

void endpoint_pool::add_peer_load(const loads_by_endpoint& loads, int sign)
{
    for (const auto& [id, load] : loads) {
        const auto found = m_endpoints.find(id);
        if (found == m_endpoints.end())
            continue;
        found->second.peer_requests += sign * load.requests;
        if (load.is_silent)
            found->second.health.adjust_silent_peers(sign);
    }
}

std::vector<endpoint_load> endpoint_pool::own_load(absl::Time now) const
{
    std::vector<endpoint_load> loads;
    for (const auto& [id, endpoint] : m_endpoints)
        if (endpoint.estimator.own_requests() > 0 || now - endpoint.last_used < load_report_window)
            loads.push_back(
                {.endpoint = id,
                 .requests = endpoint.estimator.own_requests(),
                 .sent_prefill_tokens = endpoint.own_sent_tokens,
                 .answered = endpoint.own_answered,
                 .failed = endpoint.own_failed,
                 .is_silent = endpoint.health.is_silent_to_this_node(now, endpoint.prefill_done_at),
                 .pace_percent = endpoint.estimator.observed_pace_percent(now)});
    return loads;
}

} // namespace chivedeal::forward
