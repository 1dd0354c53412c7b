#include "chivedeal/requests/affinity_policy.hpp"

#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/requests/cache_event_batch.hpp"
#include "chivedeal/requests/load_report.hpp"
#include "chivedeal/requests/route_choice.hpp"
#include "chivedeal/requests/route_query.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include "absl/container/inlined_vector.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

// Each decision hashes every endpoint; inlining avoids a function call per endpoint.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace chivedeal::requests {

namespace {

using detail::endpoint_load;
using detail::route_table;

// In groups up to this size all members are scored; larger groups are sampled.
constexpr std::size_t max_fully_scored_members = 24;
constexpr std::size_t own_region_samples = 14;
constexpr std::size_t any_region_samples = 6;

// Number of best candidates. Two of them are sampled, and the log line lists all.
constexpr std::size_t shortlist_size = 4;

// Endpoints tried for a prefix in rendezvous order; the first within the load limit is used.
constexpr std::size_t max_rendezvous_ranks = 4;

// Group totals are used only for the load limit, which tolerates slightly outdated values.
constexpr absl::Duration max_totals_age = absl::Milliseconds(200);

// Initial share of a new endpoint; with no requests at all its load could not be measured.
constexpr double min_ramp_share = 0.1;

// Hash seeds that give independent values for the same request or prefix.
enum seed : std::uint64_t
{
    version_seed = 1,
    sample_seed,
    pair_seed,
    ramp_seed,
};

std::uint64_t mix(std::uint64_t value, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(&value, sizeof value, seed);
}

double to_fraction(std::uint64_t hash) { return std::ldexp(static_cast<double>(hash >> 11), -53); }

struct candidate
{
    const route_table::member* member = nullptr;
    double score = 0;
    double cached_tokens = 0;
    /// Tie breaker that differs per request, since a fixed order would make all nodes prefer the
    /// same endpoints. Not used by the sort in `pick_candidate`.
    std::uint64_t tie_breaker = 0;
    bool is_rendezvous = false;
};

struct ranked_member
{
    std::uint64_t score = 0;
    const route_table::member* member = nullptr;
};

// The members with the highest scores, in descending order.
class top_ranked
{
public:
    void offer(std::uint64_t score, const route_table::member* member)
    {
        if (score <= m_best.back().score)
            return;
        std::size_t at = m_best.size() - 1;
        for (; at > 0 && m_best[at - 1].score < score; --at)
            m_best[at] = m_best[at - 1];
        m_best[at] = {.score = score, .member = member};
    }

    const std::array<ranked_member, max_rendezvous_ranks>& best() const { return m_best; }

private:
    std::array<ranked_member, max_rendezvous_ranks> m_best;
};

} // namespace

// A single routing decision. Lives on the stack and refers to the policy's tables.
class affinity_policy::decision
{
public:
    decision(affinity_policy& policy, const route_query& query, absl::Time now)
        : m_policy(policy),
          m_options(policy.m_options),
          m_query(query),
          m_now(now),
          m_request(XXH3_64bits(query.request.str().data(), query.request.str().size())),
          m_prefix(query.prefix.empty() ? 0 : cache_index::hash_of(query.prefix)),
          m_uses_affinity(!query.prefix.empty() && is_enabled(mechanism::prefix_affinity))
    {
        for (const endpoint_id& failed : query.excluded)
            if (const auto* info = policy.m_table.find_endpoint(failed))
                m_failed_zones.push_back(info->zone);
    }

    result<route_choice> run(route_table::service_entry& entry);

private:
    result<route_choice> choose_from(route_table::group& group, const char* reason_suffix);
    route_table::group& choose_regular_group(std::vector<route_table::group>& groups) const;
    void collect_candidates(route_table::group& group);
    void add_rendezvous_endpoints(route_table::group& group);
    void add_holders(const route_table::group& group);
    void add_sample(const route_table::group& group);
    void add(const route_table::member& member, bool is_rendezvous);
    bool is_within_bound(const route_table::group& group, const route_table::member& member) const;
    double ramp_of(const route_table::member& member) const;
    double cached_at(const route_table::member& member, bool is_rendezvous) const;
    double score_of(const route_table::member& member, double cached_tokens) const;
    double queue_ms(const endpoint_load& load, double ramp) const;
    double link_ms(const membership::endpoint& target) const;
    double failure_ms(const route_table::member& member) const;
    route_choice pick_candidate(const char* reason_suffix);
    std::string format_shortlist() const;

    affinity_policy& m_policy;
    const options& m_options;
    const route_query& m_query;
    absl::Time m_now;
    std::uint64_t m_request;
    std::uint64_t m_prefix;
    bool m_uses_affinity;
    absl::InlinedVector<zone_id, 2> m_failed_zones;
    /// Valid holders of the prefix.
    absl::InlinedVector<cache_index::holder, 8> m_holders;
    absl::InlinedVector<candidate, 48> m_candidates;
};

result<route_choice> affinity_policy::decision::run(route_table::service_entry& entry)
{
    if (m_uses_affinity)
        if (const auto* holders = m_policy.m_cache.find(m_prefix))
            for (const cache_index::holder& each : *holders)
                if (m_policy.m_cache.is_valid(each, m_now))
                    m_holders.push_back(each);
    const bool uses_trial = to_fraction(mix(m_request, version_seed)) < entry.trial_share;
    if (uses_trial && !entry.trial.empty()) {
        auto chosen = choose_from(entry.trial.front(), "_of_new_version");
        if (is_ok(chosen))
            return chosen;
    }
    if (!entry.regular.empty()) {
        auto chosen = choose_from(choose_regular_group(entry.regular), "");
        if (is_ok(chosen))
            return chosen;
    }
    // An unproven version must not take over the traffic of the old version.
    if (!uses_trial && !entry.trial.empty() && entry.trial_proven)
        return choose_from(entry.trial.front(), "_of_new_version");
    return error{.code = result_code::no_endpoint,
                 .message = absl::StrCat("no usable endpoint of service '", m_query.service.str(),
                                         "' is listed, or all of them have failed this request")};
}

result<route_choice> affinity_policy::decision::choose_from(route_table::group& group,
                                                            const char* reason_suffix)
{
    m_candidates.clear();
    collect_candidates(group);
    if (m_candidates.empty())
        return error{.code = result_code::no_endpoint, .message = "no candidate"};
    for (candidate& each : m_candidates) {
        each.cached_tokens = cached_at(*each.member, each.is_rendezvous);
        each.score = score_of(*each.member, each.cached_tokens);
    }
    return pick_candidate(reason_suffix);
}

// Without a current version, traffic is divided between the groups in proportion to their sizes.
route_table::group&
affinity_policy::decision::choose_regular_group(std::vector<route_table::group>& groups) const
{
    std::size_t total = 0;
    for (const route_table::group& each : groups)
        total += each.members.size();
    std::size_t at = mix(m_request, version_seed) % std::max<std::size_t>(1, total);
    for (route_table::group& each : groups) {
        if (at < each.members.size())
            return each;
        at -= each.members.size();
    }
    return groups.front();
}

void affinity_policy::decision::collect_candidates(route_table::group& group)
{
    if (m_uses_affinity) {
        add_rendezvous_endpoints(group);
        add_holders(group);
    }
    add_sample(group);
    if (!m_candidates.empty())
        return;
    // All sampled endpoints were excluded.
    for (const route_table::member& each : group.members)
        add(each, false);
}

void affinity_policy::decision::add_rendezvous_endpoints(route_table::group& group)
{
    if (m_now - group.totals_updated_at > max_totals_age) {
        group.total_attempts = 0;
        group.total_slots = 0;
        for (const route_table::member& each : group.members) {
            group.total_attempts += each.load->estimated_attempts(m_now);
            group.total_slots += each.load->slots(m_now);
        }
        group.totals_updated_at = m_now;
    }
    const std::uint64_t key = m_prefix ^ group.hash;
    top_ranked top_overall;
    top_ranked top_in_region;
    for (std::size_t i = 0; i < group.members.size(); ++i) {
        const route_table::member& each = group.members[i];
        const std::uint64_t score = mix(each.hash, key);
        top_overall.offer(score, &each);
        if (i < group.own_region_count)
            top_in_region.offer(score, &each);
    }
    for (const top_ranked* order : {&top_in_region, &top_overall})
        for (const ranked_member& each : order->best()) {
            if (each.member == nullptr)
                break;
            if (m_query.excluded.contains(each.member->info->id) ||
                !is_within_bound(group, *each.member) ||
                to_fraction(mix(each.score, ramp_seed)) >= ramp_of(*each.member))
                continue;
            add(*each.member, true);
            break;
        }
}

void affinity_policy::decision::add_holders(const route_table::group& group)
{
    for (const cache_index::holder& each : m_holders)
        if (const auto position = group.index_by_hash.find(each.endpoint);
            position != group.index_by_hash.end())
            add(group.members[position->second], false);
}

void affinity_policy::decision::add_sample(const route_table::group& group)
{
    const std::size_t count = group.members.size();
    if (count <= max_fully_scored_members) {
        for (const route_table::member& each : group.members)
            add(each, false);
        return;
    }
    std::uint64_t draw = mix(m_request, sample_seed);
    for (std::size_t i = 0; i < own_region_samples + any_region_samples; ++i) {
        const bool from_own_region = i < own_region_samples && group.own_region_count > 0;
        add(group.members[draw % (from_own_region ? group.own_region_count : count)], false);
        draw = mix(draw, sample_seed);
    }
}

void affinity_policy::decision::add(const route_table::member& member, bool is_rendezvous)
{
    for (const candidate& each : m_candidates)
        if (each.member == &member)
            return;
    if (m_query.excluded.contains(member.info->id))
        return;
    m_candidates.push_back({.member = &member,
                            .tie_breaker = mix(member.hash, m_request),
                            .is_rendezvous = is_rendezvous});
}

bool affinity_policy::decision::is_within_bound(const route_table::group& group,
                                                const route_table::member& member) const
{
    const double mean = (group.total_attempts + 1) / std::max(1.0, group.total_slots);
    const double allowed =
        std::ceil(m_options.max_load_over_mean * mean * member.load->slots(m_now));
    // An endpoint with free slots is always within the limit, since no request has to wait there.
    return member.load->estimated_attempts(m_now) <
           std::max<double>(allowed, member.load->slots(m_now));
}

double affinity_policy::decision::ramp_of(const route_table::member& member) const
{
    const absl::Duration age = m_now - member.load->first_seen();
    if (age >= m_options.ramp_duration)
        return 1;
    return std::max(min_ramp_share, absl::FDivDuration(age, m_options.ramp_duration));
}

double affinity_policy::decision::cached_at(const route_table::member& member,
                                            bool is_rendezvous) const
{
    if (!m_uses_affinity)
        return 0;
    const auto prompt = static_cast<double>(m_query.prompt_tokens);
    for (const cache_index::holder& each : m_holders)
        if (each.endpoint == member.hash)
            return std::min(prompt, static_cast<double>(each.tokens)) *
                   member.load->cache_reliability();
    return is_rendezvous
               ? prompt * m_options.assumed_cached_share * member.load->cache_reliability()
               : 0;
}

double affinity_policy::decision::score_of(const route_table::member& member,
                                           double cached_tokens) const
{
    const endpoint_load& load = *member.load;
    const double uncached_tokens = static_cast<double>(m_query.prompt_tokens) - cached_tokens;
    const double prefill_ms =
        (uncached_tokens + load.prefill_tokens()) * 1000 / m_options.prefill_tokens_per_second;
    return queue_ms(load, ramp_of(member)) + prefill_ms +
           uncached_tokens / 1000 * m_options.recompute_ms_per_kilotoken + link_ms(*member.info) +
           failure_ms(member);
}

double affinity_policy::decision::queue_ms(const endpoint_load& load, double ramp) const
{
    const double slots = std::max(1.0, load.slots(m_now) * ramp);
    const double attempts = load.estimated_attempts(m_now);
    const double waiting = std::max(0.0, attempts + 1 - slots);
    const double rate = load.tokens_per_second(m_now);
    const double until_free_ms = rate > 0 ? m_options.typical_answer_tokens * 1000 / rate
                                          : m_options.default_service_ms / slots;
    return attempts * m_options.batch_delay_ms + waiting * until_free_ms;
}

double affinity_policy::decision::link_ms(const membership::endpoint& target) const
{
    if (target.region == m_options.own_region)
        return target.zone == m_options.own_zone ? 0 : m_options.zone_round_trip_ms;
    const double bytes = static_cast<double>(m_query.prompt_tokens) * m_options.bytes_per_token;
    return m_options.region_round_trip_ms + bytes / 1000 * m_options.cross_region_ms_per_kilobyte;
}

double affinity_policy::decision::failure_ms(const route_table::member& member) const
{
    const zone_id& zone = member.info->zone;
    double total = m_policy.m_zones.failed_share(zone, m_now) * m_options.zone_failure_penalty_ms +
                   member.load->failures(m_now) * m_options.endpoint_failure_penalty_ms;
    if (std::find(m_failed_zones.begin(), m_failed_zones.end(), zone) != m_failed_zones.end())
        total += m_options.retry_zone_penalty_ms;
    return total;
}

// Samples two of the candidates close to the best score and picks the better one. Always picking
// the best would send the requests of all nodes to the same endpoint until its next load report.
route_choice affinity_policy::decision::pick_candidate(const char* reason_suffix)
{
    const std::size_t shortlisted = std::min(shortlist_size, m_candidates.size());
    std::partial_sort(
        m_candidates.begin(), m_candidates.begin() + static_cast<std::ptrdiff_t>(shortlisted),
        m_candidates.end(), [](const candidate& a, const candidate& b) {
            return std::pair(a.score, a.member->hash) < std::pair(b.score, b.member->hash);
        });
    m_candidates.resize(shortlisted);
    std::size_t near_best = 1;
    while (near_best < shortlisted && m_candidates[near_best].score <=
                                          m_candidates.front().score + m_options.score_tolerance_ms)
        ++near_best;
    std::size_t at = 0;
    if (near_best > 1) {
        const std::uint64_t draw = mix(m_request, pair_seed);
        const std::size_t first = draw % near_best;
        const std::size_t second = (first + 1 + (draw >> 32) % (near_best - 1)) % near_best;
        at = std::min(first, second);
    }
    const candidate& best = m_candidates[at];
    const char* reason = "predicted_load";
    if (best.cached_tokens > 0)
        reason = best.is_rendezvous ? "rendezvous" : "cached";
    return route_choice{.target = *best.member->info,
                        .score = best.score,
                        .reason = absl::StrCat(reason, reason_suffix),
                        .candidates = format_shortlist()};
}

std::string affinity_policy::decision::format_shortlist() const
{
    std::string text;
    for (const candidate& each : m_candidates)
        absl::StrAppend(&text, text.empty() ? "" : ",", each.member->info->id.str(), "=",
                        std::llround(each.score), "ms");
    return text;
}

affinity_policy::affinity_policy(options tunables)
    : m_options(std::move(tunables)),
      m_table(m_options.load, m_options.own_region),
      m_cache(m_options.cache),
      m_zones(m_options.zones)
{}

affinity_policy::~affinity_policy() = default;

void affinity_policy::on_state(std::shared_ptr<const state::cluster_state> state)
{
    m_state = std::move(state);
    m_table.rebuild(m_state, m_view, m_now);
}

void affinity_policy::on_view(std::shared_ptr<const membership::membership_view> view,
                              absl::Time now)
{
    const std::shared_ptr<const membership::membership_view> before = std::move(m_view);
    m_now = now;
    m_view = std::move(view);
    m_table.rebuild(m_state, m_view, now);
    if (!before)
        return;
    for (const membership::endpoint& each : before->endpoints)
        if (m_table.find_load(each.id) == nullptr)
            m_cache.erase(each.id);
}

void affinity_policy::on_load(const load_report& report, absl::Time now)
{
    if (endpoint_load* load = m_table.find_load(report.endpoint))
        load->on_report(report, now);
}

result<route_choice> affinity_policy::choose(const route_query& query, absl::Time now)
{
    route_table::service_entry* entry = m_table.find(query.service);
    if (entry == nullptr)
        return error{.code = result_code::unknown_service,
                     .message =
                         absl::StrCat("service '", query.service.str(), "' is not declared")};
    return decision(*this, query, now).run(*entry);
}

void affinity_policy::on_attempt_started(const endpoint_id& endpoint, const route_query& query,
                                         absl::Time now)
{
    endpoint_load* load = m_table.find_load(endpoint);
    if (load == nullptr)
        return;
    const double tokens =
        static_cast<double>(query.prompt_tokens) - expected_cached(endpoint, query, now);
    load->on_started(tokens, now);
    m_attempts[query.request] = {.endpoint = endpoint, .prefill_tokens = tokens};
}

void affinity_policy::on_attempt_ended(const endpoint_id& endpoint, const route_query& query,
                                       bool failed, absl::Time now)
{
    const auto found_attempt = m_attempts.find(query.request);
    if (found_attempt == m_attempts.end() || found_attempt->second.endpoint != endpoint)
        return;
    const double tokens = found_attempt->second.prefill_tokens;
    m_attempts.erase(found_attempt);
    endpoint_load* load = m_table.find_load(endpoint);
    if (load == nullptr)
        return;
    load->on_prefilled(tokens);
    load->on_ended(failed, now);
    if (const membership::endpoint* info = m_table.find_endpoint(endpoint))
        m_zones.on_attempt_ended(info->zone, failed, now);
}

void affinity_policy::on_cached(const endpoint_id& endpoint, const route_query& query,
                                std::uint64_t cached_tokens, absl::Time now)
{
    endpoint_load* load = m_table.find_load(endpoint);
    if (load == nullptr)
        return;
    if (const auto found_attempt = m_attempts.find(query.request);
        found_attempt != m_attempts.end() && found_attempt->second.endpoint == endpoint) {
        load->on_prefilled(found_attempt->second.prefill_tokens);
        found_attempt->second.prefill_tokens = 0;
    }
    if (query.prefix.empty())
        return;
    const double expected = expected_cached(endpoint, query, now);
    if (expected > 0)
        load->on_cache_use(static_cast<double>(cached_tokens) / expected);
    // The engine caches the prompt that it has just computed. Later requests report how many of its
    // tokens they could reuse.
    m_cache.on_observed(endpoint, query.prefix,
                        cached_tokens > 0 ? cached_tokens : query.prompt_tokens, now);
}

void affinity_policy::on_cache_events(const cache_event_batch& batch, absl::Time now)
{
    m_cache.on_events(batch, now);
}

std::uint64_t affinity_policy::next_cache_event(const endpoint_id& endpoint) const
{
    return m_cache.next_seq(endpoint);
}

double affinity_policy::expected_cached(const endpoint_id& endpoint, const route_query& query,
                                        absl::Time now) const
{
    if (query.prefix.empty())
        return 0;
    const auto* holders = m_cache.find(cache_index::hash_of(query.prefix));
    if (holders == nullptr)
        return 0;
    const std::uint64_t hash = cache_index::hash_of(endpoint);
    for (const cache_index::holder& each : *holders)
        if (each.endpoint == hash && m_cache.is_valid(each, now))
            return std::min(static_cast<double>(query.prompt_tokens),
                            static_cast<double>(each.tokens));
    return 0;
}

} // namespace chivedeal::requests
