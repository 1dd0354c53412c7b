#include "chivedeal/control/move_evidence.hpp"

#include "chivedeal/membership/outcome_count.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>
#include <utility>

namespace chivedeal::control {

namespace {

// A batch is closed by its numbers of requests alone, never by what came of them, which keeps the
// tests valid. Small batches find an outright failure after a few requests.
constexpr std::uint64_t harm_batch_new = 3;
constexpr std::uint64_t harm_batch_old = 3;
// Larger, since the old version's share serves as reference there.
constexpr std::uint64_t proof_batch_new = 10;
constexpr std::uint64_t proof_batch_old = 50;
// Shares of the stake: half to each kind of hit, then to the whole, to the bands and to the routes.
constexpr double whole_weight = 0.4;
constexpr int load_bands = 4;
constexpr double band_weight = 0.2 / load_bands;
constexpr std::size_t max_routes = 16;
constexpr double route_weight = 0.4 / max_routes;
// A route with a smaller share of the traffic could not give a proof before any deadline; there the
// version only needs to have run.
constexpr double minor_route = 0.01;
constexpr std::uint64_t minor_route_requests = 5;

} // namespace

move_evidence::move_evidence(options settings)
    : m_options(std::move(settings)), m_whole(m_options.margin)
{}

void move_evidence::set_baseline(const std::vector<membership::outcome_count>& counts)
{
    for (const membership::outcome_count& count : counts) {
        if (count.service != m_options.service)
            continue;
        if (count.version == m_options.from && count.declared_offset == m_options.from_offset)
            take_delta(count, false);
        if (count.version == m_options.to && count.declared_offset == m_options.to_offset)
            take_delta(count, true);
    }
}

void move_evidence::add(const std::vector<membership::outcome_count>& counts)
{
    for (const membership::outcome_count& count : counts) {
        if (count.service != m_options.service)
            continue;
        const bool fresh =
            count.version == m_options.to && count.declared_offset == m_options.to_offset;
        if (!fresh &&
            (count.version != m_options.from || count.declared_offset != m_options.from_offset))
            continue;
        const totals delta = take_delta(count, fresh);
        if (delta.requests == 0)
            continue;
        proof_state& route =
            m_routes.try_emplace(count.route, m_options.route_margin).first->second;
        for (pair* target : {&m_strata[{count.route, count.load_band}], &route.pending, &route.all,
                             &m_whole.pending, &m_whole.all}) {
            totals& side = fresh ? target->fresh : target->old;
            side.requests += delta.requests;
            side.errors += delta.errors;
            side.slow += delta.slow;
        }
    }
    for (auto& [stratum, pending] : m_strata) {
        if (pending.fresh.requests < harm_batch_new || pending.old.requests < harm_batch_old)
            continue;
        weigh_harm(stratum, std::exchange(pending, {}));
    }
    weigh_proof(m_whole);
    for (auto& [name, route] : m_routes)
        weigh_proof(route);
}

void move_evidence::close_batches()
{
    for (auto& [stratum, pending] : m_strata)
        weigh_harm(stratum, std::exchange(pending, {}));
    m_whole.pending = {};
    for (auto& [name, route] : m_routes)
        route.pending = {};
}

bool move_evidence::is_bad() const { return harm() >= 1 / m_options.false_alarm; }

std::vector<std::string> move_evidence::missing() const
{
    const std::uint64_t traffic = m_whole.all.old.requests + m_whole.all.fresh.requests;
    std::vector<std::string> out;
    if (traffic == 0)
        out.emplace_back("no traffic to compare the versions on");
    report_missing("all routes", m_whole, out);
    for (const auto& [name, route] : m_routes) {
        const std::uint64_t requests = route.all.old.requests + route.all.fresh.requests;
        if (static_cast<double>(requests) >= minor_route * static_cast<double>(traffic))
            report_missing(absl::StrCat("route '", name, "'"), route, out);
        else if (route.all.fresh.requests < minor_route_requests)
            out.push_back(absl::StrCat("route '", name, "': the version has hardly run there"));
    }
    return out;
}

void move_evidence::report_missing(const std::string& where, const proof_state& proof,
                                   std::vector<std::string>& out) const
{
    for (const kind which : {errors, slow}) {
        const double reached = proof.proofs[which].value() * m_options.false_proof;
        if (reached < 1)
            out.push_back(absl::StrFormat(
                "%s: too little evidence on %s (%d requests of the version, %.3g of 1)", where,
                which == errors ? "errors" : "latency", proof.all.fresh.requests, reached));
    }
}

std::string move_evidence::describe() const
{
    std::string out = absl::StrFormat("harm=%.3g of %.3g", harm(), 1 / m_options.false_alarm);
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

paired_batch move_evidence::batch_of(const pair& counts, kind which)
{
    return {.new_requests = counts.fresh.requests,
            .new_hits = which == errors ? counts.fresh.errors : counts.fresh.slow,
            .old_requests = counts.old.requests,
            .old_hits = which == errors ? counts.old.errors : counts.old.slow};
}

move_evidence::totals move_evidence::take_delta(const membership::outcome_count& count, bool fresh)
{
    totals& seen = m_seen[{count.node, fresh, count.route, count.load_band}];
    // A node that started again counts from zero.
    if (count.requests < seen.requests || count.errors < seen.errors || count.slow < seen.slow)
        seen = {};
    // Bounded by the requests, so that a wrong report of a node can't break the tests.
    const std::uint64_t requests = count.requests - seen.requests;
    const totals delta{.requests = requests,
                       .errors = std::min(requests, count.errors - seen.errors),
                       .slow = std::min(requests, count.slow - seen.slow)};
    seen = {.requests = count.requests, .errors = count.errors, .slow = count.slow};
    return delta;
}

void move_evidence::weigh_harm(const std::pair<std::string, int>& stratum, const pair& counts)
{
    if (counts.fresh.requests == 0 || counts.old.requests == 0)
        return;
    std::vector<group*> groups{&group_of("all", whole_weight)};
    if (stratum.second >= 0 && stratum.second < load_bands)
        groups.push_back(&group_of(absl::StrCat("band/", stratum.second), band_weight));
    const std::string route = absl::StrCat("route/", stratum.first);
    if (m_groups.contains(route) || m_route_groups < max_routes) {
        m_route_groups += m_groups.contains(route) ? 0 : 1;
        groups.push_back(&group_of(route, route_weight));
    }
    for (const kind which : {errors, slow}) {
        const harm_test::log_ratios ratios = harm_test::ratios(batch_of(counts, which));
        for (group* target : groups)
            target->tests[which].multiply(ratios, counts.fresh.requests);
    }
}

void move_evidence::weigh_proof(proof_state& where)
{
    if (where.pending.fresh.requests < proof_batch_new ||
        where.pending.old.requests < proof_batch_old)
        return;
    const pair counts = std::exchange(where.pending, {});
    for (const kind which : {errors, slow})
        where.proofs[which].add(batch_of(counts, which));
}

move_evidence::group& move_evidence::group_of(const std::string& name, double weight)
{
    group& found = m_groups[name];
    found.weight = weight;
    return found;
}

// A weighted mean of the tests of all groups; groups not seen yet count as 1.
double move_evidence::harm() const
{
    double value = 1;
    for (const auto& [name, group] : m_groups)
        for (const harm_test& test : group.tests)
            value += group.weight / 2 * (test.value() - 1);
    return value;
}

} // namespace chivedeal::control
