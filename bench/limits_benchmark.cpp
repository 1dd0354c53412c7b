#include "bench/limits_benchmark.hpp"

#include "bench/report.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/requests/admission.hpp"
#include "chivedeal/requests/caller_request.hpp"
#include "chivedeal/requests/workspace_limiter.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chivedeal::bench {

namespace {

constexpr std::uint64_t seed = 20261204;
const absl::Time start = absl::FromUnixSeconds(1'000'000);
const workspace_id workspace("w");

// A workspace with a limit of 50 requests per second, offered five times as many over all nodes.
constexpr double rate = 50;
constexpr double burst = 100;
constexpr double offered_rate = 250;
constexpr absl::Duration step = absl::Milliseconds(100);
constexpr int steps = 300;
// Nodes see demand with a delay of one gossip round.
constexpr std::size_t round_steps = 10;

struct request_counts
{
    double admitted = 0;
    double offered = 0;
};

node_id node(std::size_t number) { return node_id("n" + std::to_string(number)); }

request_counts run_nodes(std::size_t count)
{
    state::cluster_state declared;
    declared.workspaces[workspace] = std::make_shared<const state::workspace>(state::workspace{
        .name = workspace, .team = {}, .rate = rate, .burst = burst, .concurrency = 1'000'000});
    const auto state = std::make_shared<const state::cluster_state>(declared);
    std::vector<requests::workspace_limiter> limiters(count);
    for (requests::workspace_limiter& limiter : limiters)
        limiter.on_state(state);
    std::mt19937_64 random(seed);
    std::poisson_distribution<int> arrivals(offered_rate * absl::ToDoubleSeconds(step) /
                                            static_cast<double>(count));
    std::deque<std::map<node_id, double>> published;
    request_counts result;
    for (int at = 0; at < steps; ++at) {
        const absl::Time now = start + at * step;
        std::map<node_id, double> demand;
        for (std::size_t i = 0; i < count; ++i) {
            for (int remaining = arrivals(random); remaining > 0; --remaining) {
                result.offered += 1;
                if (!is_ok(limiters[i].admit(workspace, now)))
                    continue;
                result.admitted += 1;
                limiters[i].release(workspace);
            }
            const auto own = limiters[i].demand(now);
            if (const auto it = own.find(workspace); it != own.end())
                demand[node(i)] = it->second;
        }
        published.push_back(std::move(demand));
        if (published.size() > round_steps)
            published.pop_front();
        membership::membership_view view;
        view.demand[workspace] = published.front();
        for (std::size_t i = 0; i < count; ++i) {
            membership::node_record listed;
            listed.id = node(i);
            view.nodes.push_back(std::move(listed));
        }
        for (std::size_t i = 0; i < count; ++i) {
            view.self = node(i);
            limiters[i].on_view(std::make_shared<const membership::membership_view>(view), now);
        }
    }
    return result;
}

void run_overshoot(report& out)
{
    const double allowed = rate * absl::ToDoubleSeconds(steps * step) + burst;
    for (const std::size_t count : {9, 90, 390}) {
        const request_counts result = run_nodes(count);
        const std::string measure = "overshoot_" + std::to_string(count) + "_nodes";
        out.add("limits", measure, "workspace_limiter", result.admitted / allowed, "of allowed");
        out.add("limits", measure, "no_limit", result.offered / allowed, "of allowed");
    }
}

// Baseline that admits any request as long as there is capacity.
class first_come
{
public:
    bool admit(const requests::caller_request& /*request*/, absl::Time /*now*/)
    {
        if (m_open >= requests::admission::options{}.max_open)
            return false;
        ++m_open;
        return true;
    }
    void release(const workspace_id& /*workspace*/) { --m_open; }

private:
    int m_open = 0;
};

class fair_share
{
public:
    bool admit(const requests::caller_request& request, absl::Time now)
    {
        return is_ok(m_admission.admit(request, now));
    }
    void release(const workspace_id& workspace) { m_admission.release(workspace); }

private:
    requests::admission m_admission;
};

// Two workspaces that each offer three times the node's capacity, and three small ones.
template<class Admission>
void run_workspaces(report& out, const std::string& policy)
{
    constexpr int workspaces = 5;
    constexpr double service_seconds = 2;
    const std::vector<double> per_second = {300, 300, 4, 4, 4};
    std::mt19937_64 random(seed);
    Admission controller;
    std::vector<double> admitted(workspaces, 0);
    std::vector<double> requested(workspaces, 0);
    std::multimap<absl::Time, int> ends;
    std::exponential_distribution<double> service(1 / service_seconds);
    std::exponential_distribution<double> gap(612);
    std::discrete_distribution<int> which(per_second.begin(), per_second.end());
    for (absl::Time now = start; now < start + absl::Seconds(60);
         now += absl::Seconds(gap(random))) {
        while (!ends.empty() && ends.begin()->first <= now) {
            controller.release(workspace_id(std::to_string(ends.begin()->second)));
            ends.erase(ends.begin());
        }
        const int from = which(random);
        requests::caller_request request;
        request.workspace = workspace_id(std::to_string(from));
        requested[from] += 1;
        if (!controller.admit(request, now))
            continue;
        admitted[from] += 1;
        ends.emplace(now + absl::Seconds(service(random)), from);
    }
    double small = 1;
    for (int i = 2; i < workspaces; ++i)
        small = std::min(small, admitted[i] / requested[i]);
    out.add("limits", "worst_small_workspace_admitted", policy, small, "of asked");
    out.add("limits", "large_workspaces_admitted", policy,
            (admitted[0] + admitted[1]) / (requested[0] + requested[1]), "of asked");
    out.add("limits", "requests_admitted", policy,
            admitted[0] + admitted[1] + admitted[2] + admitted[3] + admitted[4], "requests");
}

} // namespace

void limits_benchmark::run(report& out)
{
    run_overshoot(out);
    run_workspaces<fair_share>(out, "admission");
    run_workspaces<first_come>(out, "first_come");
}

} // namespace chivedeal::bench
