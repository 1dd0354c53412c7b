#include "chivedeal/control/move_evidence.hpp"

#include "chivedeal/membership/outcome_count.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>
#include <utility>

namespace chivedeal::control {

namespace {

// Whether a batch is complete depends on its request counts only, never on the outcomes; otherwise
// the tests would not be valid. Small batches detect a complete failure after a few requests.
constexpr std::uint64_t harm_batch_min_new = 3;
constexpr std::uint64_t harm_batch_min_old = 3;
// Larger than the harm batches, because the proof uses the old version's hit rate in the batch as
// its reference and a small sample would make that rate imprecise.
constexpr std::uint64_t proof_batch_min_new = 10;
constexpr std::uint64_t proof_batch_min_old = 50;
// Weights of the harm tests over all requests, of each load band and of each route; they sum to 1.
// Each weight is split equally between the two outcome kinds.
constexpr double all_routes_weight = 0.4;
constexpr int load_band_count = 4;
constexpr double band_weight = 0.2 / load_band_count;
constexpr std::size_t max_route_groups = 16;
constexpr double route_weight = 0.4 / max_route_groups;
// A route with a smaller share of the traffic could not yield a proof before any deadline. On such
// a route, a few requests of the new version suffice.
constexpr double minor_route_traffic_share = 0.01;
constexpr std::uint64_t minor_route_min_requests = 5;

} // namespace

move_evidence::move_evidence(options settings)
    : m_options(std::move(settings)), m_all_routes(m_options.margin)
{}

void move_evidence::set_baseline(const std::vector<membership::outcome_count>& counts)
{
    for (const membership::outcome_count& count : counts) {
        if (count.service != m_options.service)
            continue;
        if (count.version == m_options.from && count.declared_offset == m_options.from_offset)
            consume_delta(count, false);
        if (count.version == m_options.to && count.declared_offset == m_options.to_offset)
            consume_delta(count, true);
    }
}

void move_evidence::add(const std::vector<membership::outcome_count>& counts)
{
    for (const membership::outcome_count& count : counts) {
        if (count.service != m_options.service)
            continue;
        const bool is_new =
            count.version == m_options.to && count.declared_offset == m_options.to_offset;
        if (!is_new &&
            (count.version != m_options.from || count.declared_offset != m_options.from_offset))
            continue;
        const totals delta = consume_delta(count, is_new);
        if (delta.requests == 0)
            continue;
        proof_progress& route =
            m_routes.try_emplace(count.route, m_options.route_margin).first->second;
        for (version_totals* target : {&m_strata[{count.route, count.load_band}], &route.pending,
                                       &route.total, &m_all_routes.pending, &m_all_routes.total}) {
            totals& side = is_new ? target->new_version : target->old_version;
            side.requests += delta.requests;
            side.errors += delta.errors;
            side.slow += delta.slow;
        }
    }
    for (auto& [stratum, pending] : m_strata) {
        if (pending.new_version.requests < harm_batch_min_new ||
            pending.old_version.requests < harm_batch_min_old)
            continue;
        update_harm_tests(stratum, std::exchange(pending, {}));
    }
    update_proof(m_all_routes);
    for (auto& [name, route] : m_routes)
        update_proof(route);
}

void move_evidence::close_batches()
{
    for (auto& [stratum, pending] : m_strata)
        update_harm_tests(stratum, std::exchange(pending, {}));
    m_all_routes.pending = {};
    for (auto& [name, route] : m_routes)
        route.pending = {};
}

bool move_evidence::is_bad() const { return harm_value() >= 1 / m_options.false_alarm_probability; }

std::vector<std::string> move_evidence::missing_evidence() const
{
    const std::uint64_t traffic =
        m_all_routes.total.old_version.requests + m_all_routes.total.new_version.requests;
    std::vector<std::string> out;
    if (traffic == 0)
        out.emplace_back("no traffic to compare the versions on");
    report_missing("all routes", m_all_routes, out);
    for (const auto& [name, route] : m_routes) {
        const std::uint64_t requests =
            route.total.old_version.requests + route.total.new_version.requests;
        if (static_cast<double>(requests) >=
            minor_route_traffic_share * static_cast<double>(traffic))
            report_missing(absl::StrCat("route '", name, "'"), route, out);
        else if (route.total.new_version.requests < minor_route_min_requests)
            out.push_back(absl::StrCat("route '", name, "': the version has hardly run there"));
    }
    return out;
}

void move_evidence::report_missing(const std::string& scope, const proof_progress& progress,
                                   std::vector<std::string>& out) const
{
    for (const outcome_kind kind : {errors, slow}) {
        const double fraction = progress.tests[kind].value() * m_options.false_proof_probability;
        if (fraction < 1)
            out.push_back(absl::StrFormat(
                "%s: too little evidence on %s (%d requests of the version, %.3g of 1)", scope,
                kind == errors ? "errors" : "latency", progress.total.new_version.requests,
                fraction));
    }
}

std::string move_evidence::describe() const
{
    std::string out =
        absl::StrFormat("harm=%.3g of %.3g", harm_value(), 1 / m_options.false_alarm_probability);
    const std::pair<const std::string, group>* worst = nullptr;
    double highest = 0;
    for (const auto& entry : m_groups)
        for (const harm_test& test : entry.second.tests)
            if (test.value() * entry.second.weight > highest) {
                highest = test.value() * entry.second.weight;
                worst = &entry;
            }
    if (worst == nullptr)
        return out;
    const auto& tests = worst->second.tests;
    absl::StrAppend(&out, " most_in=", worst->first,
                    " kind=", tests[errors].value() >= tests[slow].value() ? "errors" : "latency");
    return out;
}

paired_batch move_evidence::make_batch(const version_totals& counts, outcome_kind kind)
{
    return {.new_requests = counts.new_version.requests,
            .new_hits = kind == errors ? counts.new_version.errors : counts.new_version.slow,
            .old_requests = counts.old_version.requests,
            .old_hits = kind == errors ? counts.old_version.errors : counts.old_version.slow};
}

move_evidence::totals move_evidence::consume_delta(const membership::outcome_count& count,
                                                   bool is_new)
{
    totals& last = m_last_counts[{count.node, is_new, count.route, count.load_band}];
    // A restarted node counts from zero.
    if (count.requests < last.requests || count.errors < last.errors || count.slow < last.slow)
        last = {};
    // Clamped to the number of requests, so that an incorrect report cannot invalidate the tests.
    const std::uint64_t requests = count.requests - last.requests;
    const totals delta{.requests = requests,
                       .errors = std::min(requests, count.errors - last.errors),
                       .slow = std::min(requests, count.slow - last.slow)};
    last = {.requests = count.requests, .errors = count.errors, .slow = count.slow};
    return delta;
}

void move_evidence::update_harm_tests(const std::pair<std::string, int>& stratum,
                                      const version_totals& counts)
{
    if (counts.new_version.requests == 0 || counts.old_version.requests == 0)
        return;
    std::vector<group*> groups{&group_for("all", all_routes_weight)};
    if (stratum.second >= 0 && stratum.second < load_band_count)
        groups.push_back(&group_for(absl::StrCat("band/", stratum.second), band_weight));
    const std::string route = absl::StrCat("route/", stratum.first);
    if (m_groups.contains(route) || m_route_group_count < max_route_groups) {
        m_route_group_count += m_groups.contains(route) ? 0 : 1;
        groups.push_back(&group_for(route, route_weight));
    }
    for (const outcome_kind kind : {errors, slow}) {
        const harm_test::log_ratio_array log_ratios =
            harm_test::log_likelihood_ratios(make_batch(counts, kind));
        for (group* target : groups)
            target->tests[kind].multiply(log_ratios, counts.new_version.requests);
    }
}

void move_evidence::update_proof(proof_progress& progress)
{
    if (progress.pending.new_version.requests < proof_batch_min_new ||
        progress.pending.old_version.requests < proof_batch_min_old)
        return;
    const version_totals counts = std::exchange(progress.pending, {});
    for (const outcome_kind kind : {errors, slow})
        progress.tests[kind].add(make_batch(counts, kind));
}

move_evidence::group& move_evidence::group_for(const std::string& name, double weight)
{
    group& entry = m_groups[name];
    entry.weight = weight;
    return entry;
}

// Returns the weighted mean of the harm tests of all groups; groups without data count as 1.
double move_evidence::harm_value() const
{
    double value = 1;
    for (const auto& [name, group] : m_groups)
        for (const harm_test& test : group.tests)
            value += group.weight / 2 * (test.value() - 1);
    return value;
}

} // namespace chivedeal::control
