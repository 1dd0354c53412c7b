#include "chivedeal/admission/token_quota.hpp"

#include <algorithm>
#include <cmath>

namespace chivedeal::admission {

namespace {

// Fraction of the tolerated excess that is added to the limits. In the simulation, nodes admit up to
// 0.97 of the bound with it.
constexpr double tolerance_fraction = 0.4;
// Level, as a fraction of the burst, at which the nodes together admit as much as the rate. What
// is left below covers what peers admit unheard.
constexpr double target_level_fraction = 0.2;
// Time in which a surplus above the target level is spent. A report is up to half as old.
constexpr absl::Duration surplus_time = absl::Seconds(1);
// Time in which a deficit is recovered. It is short against the 8 s in which the excess counts, and
// long enough that callers aren't refused altogether after a step of demand.
constexpr absl::Duration deficit_time = absl::Milliseconds(2500);
// Time constant of the average of what a peer admits. One or two reports arrive in this time.
constexpr absl::Duration peer_rate_time = absl::Milliseconds(500);
// Time constant of the fraction that is admitted: what peers admit is known as late.
constexpr absl::Duration fraction_time = absl::Milliseconds(700);
constexpr absl::Duration demand_time = absl::Milliseconds(200);
// The fraction is never taken to be lower: the demand of peers is derived from it by division.
constexpr double min_admitted_fraction = 0.02;
// With a lower fraction, the demand of peers is estimated more slowly.
constexpr double fully_observable_fraction = 0.25;
// A node may spend this multiple of its share of the bucket between two exchanges. Callers pick
// nodes at random, so traffic is uneven.
constexpr double max_bucket_share_factor = 1.5;
// With many nodes, the share of the bucket is smaller than a request. A node may always spend this
// fraction of the burst between two exchanges; less if its callers ask for more than a fraction of
// the rate of all nodes, because they probably do so everywhere.
constexpr double min_share_of_burst = 0.25;
constexpr double min_share_of_burst_if_high = 0.1;
constexpr double ordinary_fraction_of_rate = 0.5;
// A peer is silent after this multiple of the usual interval of its reports: one of them may be
// lost and the next be delayed by a relay.
constexpr double silence_factor = 2.3;
// Interval of the reports of a peer that has reported only once.
constexpr absl::Duration first_interval = absl::Milliseconds(500);
constexpr absl::Duration min_interval = absl::Milliseconds(50);
constexpr absl::Duration max_interval = absl::Seconds(2);
constexpr double interval_smoothing = 0.2;
// If no peer reports for this multiple of the mean time between reports of all peers, this node is
// cut off.
constexpr double cut_off_factor = 12;
constexpr absl::Duration min_cut_off_time = absl::Milliseconds(150);
constexpr absl::Duration silence_check_interval = absl::Milliseconds(50);
// A step of demand empties a bucket before the silence of a peer is noticed.
constexpr absl::Duration recent_level_time = absl::Seconds(4);
// A silent peer counts as one that may still admit requests for this long.
constexpr absl::Duration max_silence = absl::Seconds(30);
// A silent peer is assumed to fall to its equal share with this time constant.
constexpr absl::Duration silent_rate_time = absl::Seconds(2);
constexpr absl::Duration silent_rate_interval = absl::Milliseconds(250);
// A caller that comes back sooner takes a second chance at the same tokens; one that is sent away
// for longer gives up.
constexpr absl::Duration min_retry_after = absl::Milliseconds(200);
constexpr absl::Duration max_retry_after = absl::Seconds(4);
// Requests return spread over this time, those of each further priority after the one before.
constexpr absl::Duration retry_step = absl::Milliseconds(200);
// How long a node with empty buckets takes over the levels of other nodes. They reply to a new node
// at once.
constexpr absl::Duration level_transfer_time = absl::Seconds(2);

double kept_weight(absl::Duration elapsed)
{
    return std::exp(-absl::FDivDuration(elapsed, peer_rate_time));
}

} // namespace

void token_quota::set_workspaces(const std::vector<forward::workspace_spec>& workspaces,
                                 absl::Time now)
{
    const bool is_first = m_started_at == absl::InfiniteFuture();
    if (is_first)
        m_started_at = now;
    std::map<workspace_id, token_bucket> next;
    for (const forward::workspace_spec& limited : workspaces) {
        if (limited.rate <= 0)
            continue;
        const forward::workspace_spec spec = with_tolerance(limited);
        const auto existing = m_buckets.find(spec.name);
        token_bucket bucket;
        bucket.level = is_first ? first_level(spec) : spec.burst;
        bucket.recent_level = bucket.level;
        bucket.refilled_at = now;
        if (existing != m_buckets.end()) {
            bucket = existing->second;
            refill(bucket, now);
        }
        else {
            for (auto& [id, each] : m_peers)
                each.spending.erase(spec.name);
        }
        bucket.rate = spec.rate;
        bucket.burst = spec.burst;
        bucket.level = std::min(bucket.level, bucket.burst);
        next.emplace(spec.name, bucket);
    }
    m_buckets.swap(next);
}

// Part of the tolerance is added to the limits, so that a workspace within its limit isn't refused
// because of outdated counts. The rest covers what the nodes admit in excess of the limit.
forward::workspace_spec token_quota::with_tolerance(const forward::workspace_spec& spec) const
{
    forward::workspace_spec tolerant = spec;
    tolerant.rate *= 1 + m_options.excess_ratio * tolerance_fraction;
    if (tolerant.counts_tokens)
        tolerant.burst += m_options.slack_tokens * tolerance_fraction;
    return tolerant;
}

double token_quota::first_level(const forward::workspace_spec& spec) const
{
    if (!m_options.starts_empty)
        return spec.burst;
    const auto heard = m_early_levels.find(spec.name);
    return heard == m_early_levels.end() ? 0 : heard->second;
}

token_quota::decision token_quota::try_admit(const workspace_id& workspace, const request& asked,
                                             absl::Time now)
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return decision::admitted;
    detect_silence(now);
    token_bucket& bucket = found->second;
    refill(bucket, now);
    update_fraction(bucket, now);
    const double fraction = fraction_to_admit(bucket, asked.cost, now);
    bucket.demand.on_request(asked.priority, asked.cost, now);
    const bool is_alone = node_count() == 1;
    // With several nodes the fraction alone keeps the level near its target, whatever a request
    // costs. A node that is alone with a small part of the bucket would never hold the cost of a
    // large one.
    if (is_alone && bucket.level < asked.cost)
        return decision::limit_reached;
    // One node knows the level. It keeps a reserve only for requests that are more urgent.
    if ((!is_alone || bucket.demand.has_several_priorities()) &&
        asked.sample >= bucket.demand.fraction_for(asked.priority, fraction))
        return decision::limit_reached;
    if (!is_alone && bucket.spent_since_exchange > blind_allowance(bucket, now))
        return decision::share_spent;
    bucket.level -= asked.cost;
    bucket.spent_since_exchange += asked.cost;
    m_admitted[workspace] += asked.cost;
    return decision::admitted;
}

// All nodes see nearly the same level and the same total, and so admit nearly the same fraction.
// The demand at the peers is what they admit, divided by that fraction. While they admit little,
// that says little, and the earlier estimate is kept.
void token_quota::update_fraction(token_bucket& bucket, absl::Time now) const
{
    const absl::Duration elapsed = bucket.fraction_at == absl::InfinitePast()
                                       ? absl::ZeroDuration()
                                       : now - bucket.fraction_at;
    const double observable = std::min(1.0, bucket.admitted_fraction / fully_observable_fraction);
    const double measured_demand =
        bucket.reporting_rate / std::max(bucket.admitted_fraction, min_admitted_fraction);
    const double weight = 1 - std::exp(-absl::FDivDuration(elapsed, demand_time) * observable);
    if (bucket.peer_demand == 0)
        bucket.peer_demand = measured_demand;
    else
        bucket.peer_demand += (measured_demand - bucket.peer_demand) * weight;
    const double fraction = fraction_to_admit(bucket, 0, now);
    const double kept = std::exp(-absl::FDivDuration(elapsed, fraction_time));
    bucket.admitted_fraction = bucket.admitted_fraction * kept + fraction * (1 - kept);
    bucket.fraction_at = now;
}

// A node that hears few others knows little of their demand, and its own is known only from a few
// requests. There the cost of the request at hand counts as demand as well, or every node would
// admit its first one.
double token_quota::fraction_to_admit(const token_bucket& bucket, double cost, absl::Time now) const
{
    const double reachable = reachable_fraction();
    const double reserve = bucket.level - bucket.burst * reachable * target_level_fraction;
    const double available = std::max(
        0.0, bucket.rate - bucket.silent_rate - unheard_rate(bucket) +
                 reserve / absl::ToDoubleSeconds(reserve > 0 ? surplus_time : deficit_time));
    const double demand = bucket.demand.total(now) + bucket.peer_demand +
                          demand_by_priority::rate_of(cost) * (1 - reachable);
    return demand <= available ? 1 : available / demand;
}

// Nodes that are known to exist, but from which no report has arrived.
int token_quota::unheard_peers() const
{
    return std::max(0, m_nodes - 1 - static_cast<int>(m_peers.size()));
}

double token_quota::unheard_rate(const token_bucket& bucket) const
{
    return bucket.rate * unheard_peers() / node_count();
}

// Until the peers hear of it, a node spends at most a multiple of its equal share of the bucket, or
// a few requests.
double token_quota::blind_allowance(const token_bucket& bucket, absl::Time now) const
{
    const double reachable = reachable_fraction();
    const double share = (bucket.level + bucket.spent_since_exchange) * max_bucket_share_factor /
                         std::max(1.0, node_count() * reachable);
    const bool is_ordinary = bucket.demand.total(now) <= bucket.rate * ordinary_fraction_of_rate;
    return std::max(share, bucket.burst * reachable *
                               (is_ordinary ? min_share_of_burst : min_share_of_burst_if_high));
}

void token_quota::give_back(const workspace_id& workspace, double cost)
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return;
    found->second.level = std::min(found->second.level + cost, found->second.burst);
    m_admitted[workspace] -= cost;
}

void token_quota::on_peer_report(const node_id& peer_id, const peer_report& report, absl::Time now)
{
    detect_silence(now);
    const bool was_expected = unheard_peers() > 0;
    const double reachable_before = reachable_fraction();
    const auto [found, is_new] = m_peers.try_emplace(peer_id);
    peer& reporting = found->second;
    if (is_new) {
        reporting.heard_at = now;
        reporting.assumed_until = now;
        reporting.interval = first_interval;
        // Its part of the full buckets was left to it so far.
        if (was_expected && !m_options.starts_empty)
            for (auto& [workspace, bucket] : m_buckets)
                bucket.level = std::min(bucket.level, bucket.burst * reachable_before) +
                               bucket.burst / node_count();
    }
    else {
        // Also after a silence: with many nodes, the usual interval may exceed the first guess.
        const absl::Duration elapsed =
            std::clamp(now - reporting.heard_at, min_interval, max_interval);
        reporting.interval += (elapsed - reporting.interval) * interval_smoothing;
    }
    settle(reporting, report, is_new, now);
    reporting.heard_at = now;
    reporting.assumed_until = now;
    reporting.is_leaving = report.leaving;
    m_last_report = now;
}

// Replaces what the peer was assumed to admit by what it admitted.
void token_quota::settle(peer& reporting, const peer_report& report, bool is_new, absl::Time now)
{
    const bool is_restarted = !is_new && reporting.started_us != report.started_us;
    reporting.started_us = report.started_us;
    if (reporting.is_silent)
        --m_silent_peers;
    for (auto& [workspace, bucket] : m_buckets) {
        const auto reported = report.admitted.find(workspace);
        const double total = reported == report.admitted.end() ? 0 : reported->second;
        const auto known = reporting.spending.find(workspace);
        if (known == reporting.spending.end() && total == 0)
            continue;
        peer_spending& spending = reporting.spending[workspace];
        const double before = is_restarted ? 0 : spending.reported_total;
        const double actual = is_new ? total * report.recent_share : total - before;
        spending.reported_total = total;
        if (actual != 0 || !spending.is_negligible())
            settle(bucket, spending, reporting, actual, now);
    }
    reporting.is_silent = false;
}

void token_quota::settle(token_bucket& bucket, peer_spending& spending, const peer& reporting,
                         double actual, absl::Time now) const
{
    refill(bucket, now);
    const double assumed =
        spending.assumed + spending.rate * absl::ToDoubleSeconds(now - reporting.assumed_until);
    // What a silent peer left unused would have been lost beyond its part of a full bucket.
    const double correction = reporting.is_silent
                                  ? std::min(assumed - actual, bucket.burst / node_count())
                                  : assumed - actual;
    bucket.level = std::min(bucket.level + correction, bucket.burst);
    double& sum = reporting.is_silent ? bucket.silent_rate : bucket.reporting_rate;
    sum = std::max(0.0, sum - spending.rate);
    const absl::Duration elapsed = now - reporting.heard_at;
    const double kept = kept_weight(elapsed);
    const double added = elapsed > absl::ZeroDuration()
                             ? actual / absl::ToDoubleSeconds(elapsed) * (1 - kept)
                             : actual / absl::ToDoubleSeconds(peer_rate_time);
    spending.rate = std::max(0.0, spending.rate * kept + added);
    spending.assumed = 0;
    bucket.reporting_rate += spending.rate;
    update_fraction(bucket, now);
}

void token_quota::remove_peer(const peer& removed, absl::Time now)
{
    if (removed.is_silent)
        --m_silent_peers;
    for (auto& [workspace, bucket] : m_buckets) {
        refill(bucket, now);
        const auto known = removed.spending.find(workspace);
        if (known == removed.spending.end())
            continue;
        double& sum = removed.is_silent ? bucket.silent_rate : bucket.reporting_rate;
        sum = std::max(0.0, sum - known->second.rate);
    }
}

void token_quota::detect_silence(absl::Time now)
{
    if (now - m_silence_checked_at < silence_check_interval)
        return;
    m_silence_checked_at = now;
    double reports_per_s = 0;
    for (const auto& [id, each] : m_peers)
        if (!each.is_silent)
            reports_per_s += 1 / absl::ToDoubleSeconds(each.interval);
    const bool is_cut_off =
        reports_per_s > 0 &&
        now - m_last_report >
            std::max(min_cut_off_time, absl::Seconds(cut_off_factor / reports_per_s));
    for (auto current = m_peers.begin(); current != m_peers.end();) {
        peer& each = current->second;
        const absl::Duration silence = now - each.heard_at;
        const bool is_overdue = is_cut_off || silence > each.interval * silence_factor;
        if (silence > max_silence || (is_overdue && each.is_leaving)) {
            remove_peer(each, now);
            current = m_peers.erase(current);
            continue;
        }
        if (is_overdue && !each.is_silent)
            on_silent(each, now);
        else if (each.is_silent && now - each.assumed_until > silent_rate_interval)
            approach_equal_share(each, now);
        ++current;
    }
}

// The peer may still admit requests. It doesn't hear this node either, and takes its equal part of
// the bucket and of the rate, unless it had more before.
void token_quota::on_silent(peer& silent, absl::Time now)
{
    const double remaining_nodes = node_count() - m_silent_peers;
    const double nodes = node_count();
    for (auto& [workspace, bucket] : m_buckets) {
        refill(bucket, now);
        peer_spending& spending = silent.spending[workspace];
        // While it wasn't heard, the nodes may have spent what the bucket held before.
        const double part = std::max(0.0, bucket.recent_level) / remaining_nodes;
        bucket.recent_level -= part;
        // It may have begun to spend its share of the rate when it was last heard.
        const double silent_rate = std::max(spending.rate, bucket.rate / nodes);
        const double missed =
            (silent_rate - spending.rate) * absl::ToDoubleSeconds(now - silent.heard_at);
        bucket.level -= part + missed;
        spending.assumed += part;
        bucket.reporting_rate = std::max(0.0, bucket.reporting_rate - spending.rate);
        bucket.silent_rate += silent_rate;
        spending.rate = silent_rate;
    }
    silent.is_silent = true;
    ++m_silent_peers;
}

// A peer that had more than its equal share when it fell silent gives the rest up.
void token_quota::approach_equal_share(peer& silent, absl::Time now)
{
    const absl::Duration elapsed = now - silent.assumed_until;
    const double kept = std::exp(-absl::FDivDuration(elapsed, silent_rate_time));
    for (auto& [workspace, bucket] : m_buckets) {
        refill(bucket, now);
        peer_spending& spending = silent.spending[workspace];
        spending.assumed += spending.rate * absl::ToDoubleSeconds(elapsed);
        const double excess = spending.rate - bucket.rate / node_count();
        spending.rate -= excess * (1 - kept);
        bucket.silent_rate = std::max(0.0, bucket.silent_rate - excess * (1 - kept));
    }
    silent.assumed_until = now;
}

void token_quota::on_exchange(absl::Time now)
{
    detect_silence(now);
    for (auto& [workspace, bucket] : m_buckets)
        bucket.spent_since_exchange = 0;
}

void token_quota::on_peer_levels(const std::map<workspace_id, double>& levels, absl::Time now)
{
    if (!m_options.starts_empty || now - m_started_at > level_transfer_time)
        return;
    const bool knows_workspaces = m_started_at != absl::InfiniteFuture();
    for (const auto& [workspace, level] : levels) {
        if (!knows_workspaces) {
            double& early = m_early_levels.emplace(workspace, level).first->second;
            early = std::max(early, level);
            continue;
        }
        const auto found = m_buckets.find(workspace);
        if (found == m_buckets.end())
            continue;
        token_bucket& bucket = found->second;
        refill(bucket, now);
        // Nodes that have just started themselves report less than those that know of more.
        bucket.level = std::min(std::max(bucket.level, level), bucket.burst);
    }
}

std::map<workspace_id, double> token_quota::levels(absl::Time now) const
{
    std::map<workspace_id, double> levels;
    for (const auto& [workspace, bucket] : m_buckets) {
        token_bucket current = bucket;
        refill(current, now);
        levels[workspace] = current.level;
    }
    return levels;
}

absl::Duration token_quota::time_until_available(const workspace_id& workspace, double cost) const
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end() || found->second.level >= cost)
        return absl::ZeroDuration();
    return absl::Seconds((cost - found->second.level) / found->second.rate);
}

absl::Duration token_quota::retry_after(const workspace_id& workspace, const request& refused,
                                        double spread) const
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return min_retry_after;
    const token_bucket& bucket = found->second;
    const double needed =
        std::max(bucket.burst * reachable_fraction() * target_level_fraction, refused.cost);
    const absl::Duration until_room =
        absl::Seconds(std::max(0.0, needed - bucket.level) / bucket.rate);
    return std::clamp(until_room, min_retry_after, max_retry_after) +
           retry_step * (bucket.demand.more_urgent(refused.priority) + spread);
}

int token_quota::node_count() const
{
    return std::max(m_nodes, static_cast<int>(m_peers.size()) + 1);
}

double token_quota::reachable_fraction() const
{
    return 1.0 - static_cast<double>(m_silent_peers + unheard_peers()) / node_count();
}

void token_quota::refill(token_bucket& bucket, absl::Time now) const
{
    const double capacity = bucket.burst * reachable_fraction();
    bucket.level = std::min(bucket.level, capacity);
    if (now <= bucket.refilled_at)
        return;
    const absl::Duration elapsed = now - bucket.refilled_at;
    const double net =
        bucket.rate - bucket.reporting_rate - bucket.silent_rate - unheard_rate(bucket);
    bucket.level = std::min(capacity, bucket.level + net * absl::ToDoubleSeconds(elapsed));
    bucket.recent_level =
        std::max(bucket.level,
                 bucket.recent_level * std::exp(-absl::FDivDuration(elapsed, recent_level_time)));
    bucket.refilled_at = now;
}

} // namespace chivedeal::admission
