#include "chivedeal/forward/outcome_counter.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace chivedeal::forward {

namespace {

// Long enough for responses of both sides on a node with a few requests a second, and short enough
// that an incident of some seconds fills whole intervals.
constexpr absl::Duration comparison_interval = absl::Seconds(1);
// Responses of the whole service that count in the usual failure rate of a route with few responses.
constexpr double service_weight = 5;
// Weight of the usual failure rate beside the stable versions' responses in an interval, in responses
// per response of the target. It limits what a few late responses of the stable versions excuse when
// nearly all traffic has moved.
constexpr double usual_rate_weight = 0.25;
constexpr double min_usual_rate_weight = 1;
// Limits the requests that are under way at a version that hangs.
constexpr absl::Duration trial_interval = absl::Milliseconds(500);

// Share of the target's responses in an interval that fail if it is no worse than the stable
// versions. Absent if there are no responses of stable versions to tell.
std::optional<double> expected_failure_rate(const response_counts& target,
                                            const response_counts& stable,
                                            const response_counts& usual_of_route,
                                            const response_counts& usual_of_service)
{
    if (stable.total() == 0 && usual_of_service.total() == 0)
        return std::nullopt;
    const double service_rate =
        usual_of_service.total() > 0 ? usual_of_service.failure_rate() : stable.failure_rate();
    const double usual_rate =
        (static_cast<double>(usual_of_route.bad) + service_weight * service_rate) /
        (static_cast<double>(usual_of_route.total()) + service_weight);
    const double weight =
        std::max(min_usual_rate_weight, usual_rate_weight * static_cast<double>(target.total()));
    return (static_cast<double>(stable.bad) + weight * usual_rate) /
           (static_cast<double>(stable.total()) + weight);
}

} // namespace

void outcome_counter::start_counting(const rollout_order& order)
{
    const auto known = m_services.find(order.service);
    if (order.rewritten && known != m_services.end() &&
        known->second.totals.target == order.target) {
        known->second.totals.order_offset = order.offset;
        return;
    }
    m_services[order.service] = {
        .totals = {.service = order.service, .target = order.target, .order_offset = order.offset}};
}

void outcome_counter::set_stable(const service_id& service, std::set<version_id> stable)
{
    const auto watched = m_services.find(service);
    if (watched != m_services.end())
        watched->second.stable = std::move(stable);
}

void outcome_counter::count(const service_id& service, const version_id& version,
                            const std::string& route, bool good, absl::Time now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    watched_service& watched = found->second;
    const bool is_target = version == watched.totals.target;
    if (!is_target && !watched.stable.empty() && watched.stable.count(version) == 0)
        return;
    if (now >= watched.interval_end) {
        end_interval(watched);
        watched.interval_end = now + comparison_interval;
    }
    version_outcomes& totals = watched.totals;
    route_counts& counts = watched.routes[route];
    response_counts& of_interval = is_target ? counts.target : counts.stable;
    ++(good ? of_interval.good : of_interval.bad);
    if (is_target) {
        ++(good ? counts.target_total.good : counts.target_total.bad);
        ++(good ? totals.target_good : totals.target_bad);
    }
    else {
        ++(good ? totals.other_good : totals.other_bad);
    }
}

bool outcome_counter::take_trial(const service_id& service, const std::string& route,
                                 double max_failures, absl::Time now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || now < found->second.next_trial)
        return false;
    watched_service& watched = found->second;
    std::int64_t failures = 0;
    for (const auto& [name, counts] : watched.routes)
        failures += counts.target_total.good == 0 ? counts.target_total.bad : 0;
    const auto counts = watched.routes.find(route);
    const bool is_shown = counts != watched.routes.end() && counts->second.target_total.good > 0;
    if (is_shown || static_cast<double>(failures + 1) > max_failures)
        return false;
    watched.next_trial = now + trial_interval;
    return true;
}

void outcome_counter::count_response(const service_id& service, const version_id& version,
                                     const std::string& route, std::optional<double> pace,
                                     bool in_time, absl::Time now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    pace_baseline& baseline = found->second.routes[route].pace;
    const bool slow = pace && baseline.is_slow(*pace, now);
    if (pace && version != found->second.totals.target)
        baseline.add(*pace, now);
    count(service, version, route, in_time && !slow, now);
}

void outcome_counter::add_comparisons(const watched_service& watched, version_outcomes& totals,
                                      double& expected_bad)
{
    const response_counts usual = watched.history.usual();
    for (const auto& [route, counts] : watched.routes) {
        if (counts.target.total() == 0)
            continue;
        const auto rate =
            expected_failure_rate(counts.target, counts.stable, counts.history.usual(), usual);
        if (!rate)
            continue;
        totals.compared_good += counts.target.good;
        totals.compared_bad += counts.target.bad;
        expected_bad += *rate * static_cast<double>(counts.target.total());
    }
}

void outcome_counter::end_interval(watched_service& watched)
{
    add_comparisons(watched, watched.totals, watched.expected_bad);
    response_counts stable;
    for (auto& [route, counts] : watched.routes) {
        counts.history.add(counts.stable);
        stable.add(counts.stable);
        counts.target = counts.stable = {};
    }
    watched.history.add(stable);
}

std::vector<version_outcomes> outcome_counter::snapshot() const
{
    std::vector<version_outcomes> snapshots;
    for (const auto& [service, watched] : m_services) {
        version_outcomes totals = watched.totals;
        double expected_bad = watched.expected_bad;
        add_comparisons(watched, totals, expected_bad);
        totals.expected_bad_milli = std::llround(expected_bad * 1000);
        snapshots.push_back(std::move(totals));
    }
    return snapshots;
}

} // namespace chivedeal::forward
