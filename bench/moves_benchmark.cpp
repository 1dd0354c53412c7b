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

using policy_factory = std::function<std::unique_ptr<control::rollout_policy>()>;

struct summary
{
    double rolled_back = 0;
    double done = 0;
    double bad_requests = 0;
    double time_to_verdict = 0;
    double max_share = 0;
};

summary run_trials(const policy_factory& make_policy, version_fault fault, int trials)
{
    summary out;
    for (int seed = 1; seed <= trials; ++seed) {
        fakes::move_trial trial({.seed = static_cast<std::uint64_t>(seed) + 1000, .fault = fault});
        const auto policy = make_policy();
        const fakes::move_trial_result result = trial.run(*policy);
        out.rolled_back += result.status == state::move_status::rolled_back ? 1.0 / trials : 0;
        out.done += result.status == state::move_status::done ? 1.0 / trials : 0;
        out.bad_requests += result.bad_requests / trials;
        out.time_to_verdict += absl::ToDoubleSeconds(result.time_to_verdict) / trials;
        out.max_share += result.max_share / trials;
    }
    return out;
}

} // namespace

void moves_benchmark::run(report& out)
{
    const std::vector<std::pair<std::string, policy_factory>> policies{
        {"sequential_evidence", [] { return std::make_unique<control::move_policy>(); }},
        {"fixed_steps", [] {
             return std::make_unique<control::fixed_step_policy>(
                 control::fixed_step_policy::options{});
         }}};
    const std::vector<std::pair<std::string, version_fault>> faults{
        {"fails_at_once", version_fault::fails_at_once},
        {"five_points", version_fault::five_points_more_errors},
        {"slow", version_fault::slow_answers},
        {"later", version_fault::fails_during_bake},
        {"under_load", version_fault::fails_at_full_load},
        {"one_route", version_fault::fails_on_one_route}};
    for (const auto& [policy, make_policy] : policies) {
        const summary good = run_trials(make_policy, version_fault::none, good_trials);
        out.add("moves", "good_done_in_time", policy, good.done * 100, "%");
        out.add("moves", "good_rolled_back", policy, good.rolled_back * 100, "%");
        out.add("moves", "good_time_to_end", policy, good.time_to_verdict, "s");
        for (const auto& [fault, kind] : faults) {
            const summary bad = run_trials(make_policy, kind, bad_trials);
            out.add("moves", fault + "_rolled_back", policy, bad.rolled_back * 100, "%");
            out.add("moves", fault + "_bad_requests", policy, bad.bad_requests, "requests");
            out.add("moves", fault + "_time_to_verdict", policy, bad.time_to_verdict, "s");
            out.add("moves", fault + "_highest_share", policy, bad.max_share * 100, "%");
        }
    }
}

} // namespace chivedeal::bench
