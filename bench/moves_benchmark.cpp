#include "bench/moves_benchmark.hpp"

#include "bench/report.hpp"
#include "chivedeal/control/fixed_step_policy.hpp"
#include "chivedeal/control/move_policy.hpp"

#include "fakes/move_trial.hpp"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace chivedeal::bench {

namespace {

using fakes::version_fault;

constexpr int good_trials = 300;
constexpr int bad_trials = 40;

using policy_maker = std::function<std::unique_ptr<control::rollout_policy>()>;

struct summary
{
    double rolled_back = 0;
    double done = 0;
    double bad_requests = 0;
    double to_verdict = 0;
    double highest_share = 0;
};

summary run_trials(const policy_maker& make, version_fault fault, int trials)
{
    summary out;
    for (int seed = 1; seed <= trials; ++seed) {
        fakes::move_trial trial({.seed = static_cast<std::uint64_t>(seed) + 1000, .fault = fault});
        const auto policy = make();
        const fakes::move_trial_result result = trial.run(*policy);
        out.rolled_back += result.status == state::move_status::rolled_back ? 1.0 / trials : 0;
        out.done += result.status == state::move_status::done ? 1.0 / trials : 0;
        out.bad_requests += result.bad_requests / trials;
        out.to_verdict += absl::ToDoubleSeconds(result.to_verdict) / trials;
        out.highest_share += result.highest_share / trials;
    }
    return out;
}

} // namespace

void moves_benchmark::run(report& out)
{
    const std::vector<std::pair<std::string, policy_maker>> policies{
        {"sequential_evidence", [] { return std::make_unique<control::move_policy>(); }},
        {"fixed_steps", [] {
             return std::make_unique<control::fixed_step_policy>(
                 control::fixed_step_policy::options{});
         }}};
    const std::vector<std::pair<std::string, version_fault>> faults{
        {"fails_at_once", version_fault::fails_at_once},
        {"five_points", version_fault::five_points},
        {"slow", version_fault::slow},
        {"later", version_fault::later},
        {"under_load", version_fault::under_load},
        {"one_route", version_fault::one_route}};
    for (const auto& [policy, make] : policies) {
        const summary good = run_trials(make, version_fault::none, good_trials);
        out.add("moves", "good_done_in_time", policy, good.done * 100, "%");
        out.add("moves", "good_rolled_back", policy, good.rolled_back * 100, "%");
        out.add("moves", "good_time_to_end", policy, good.to_verdict, "s");
        for (const auto& [fault, kind] : faults) {
            const summary bad = run_trials(make, kind, bad_trials);
            out.add("moves", fault + "_rolled_back", policy, bad.rolled_back * 100, "%");
            out.add("moves", fault + "_bad_requests", policy, bad.bad_requests, "requests");
            out.add("moves", fault + "_time_to_verdict", policy, bad.to_verdict, "s");
            out.add("moves", fault + "_highest_share", policy, bad.highest_share * 100, "%");
        }
    }
}

} // namespace chivedeal::bench
