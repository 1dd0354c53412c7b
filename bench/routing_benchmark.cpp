#include "bench/routing_benchmark.hpp"

#include "bench/report.hpp"
#include "bench/routing_model.hpp"
#include "chivedeal/requests/affinity_policy.hpp"
#include "chivedeal/requests/least_outstanding_policy.hpp"
#include "chivedeal/requests/round_robin_policy.hpp"
#include "chivedeal/requests/route_choice.hpp"
#include "chivedeal/requests/route_query.hpp"

#include <algorithm>
#include <ctime>
#include <vector>

namespace chivedeal::bench {

namespace {

// CPU time of this thread; elapsed time would include other work of the machine.
double thread_nanoseconds()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * 1e9 + static_cast<double>(used.tv_nsec);
}

constexpr std::uint64_t seed = 20261204;

struct named_policy
{
    std::string name;
    routing_model::make_policy make;
};

std::vector<named_policy> policies()
{
    return {{"affinity",
             [](const membership::node_record& node) {
                 return std::make_unique<requests::affinity_policy>(
                     requests::affinity_policy::options{.own_region = node.region,
                                                        .own_zone = node.zone});
             }},
            {"round_robin",
             [](const membership::node_record& /*node*/) {
                 return std::make_unique<requests::round_robin_policy>();
             }},
            {"least_outstanding", [](const membership::node_record& /*node*/) {
                 return std::make_unique<requests::least_outstanding_policy>();
             }}};
}

std::vector<model_input> inputs()
{
    std::vector<model_input> all_inputs = {shared_prefix_load(seed), mixed_load(seed + 1)};
    model_input zone_lost = mixed_load(seed + 2);
    zone_lost.name = "zone_lost";
    zone_lost.zone_lost = absl::Seconds(150);
    model_input delayed = mixed_load(seed + 3);
    delayed.name = "reports_delayed";
    delayed.report_age = absl::Seconds(4);
    model_input missing = mixed_load(seed + 4);
    missing.name = "reports_missing";
    missing.report_age = absl::InfiniteDuration();
    for (model_input* each : {&zone_lost, &delayed, &missing})
        all_inputs.push_back(std::move(*each));
    return all_inputs;
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at),
                     values.end());
    return values[at];
}

void run_model(report& out)
{
    const routing_model model(9, 20, 6);
    for (const model_input& input : inputs())
        for (const named_policy& policy : policies()) {
            const model_result result = model.run(input, policy.make);
            const auto add = [&](const std::string& measure, double value, const char* unit) {
                out.add("routing", input.name + "_" + measure, policy.name, value, unit);
            };
            add("tokens_recomputed", result.tokens_recomputed, "tokens");
            add("first_token_50", quantile(result.first_token_ms, 0.5), "ms");
            add("first_token_95", quantile(result.first_token_ms, 0.95), "ms");
            add("first_token_99", quantile(result.first_token_ms, 0.99), "ms");
            add("cross_region", result.cross_region_bytes / 1e6, "MB");
            add("load_max_over_mean", result.work_max_over_mean, "");
            add("retries", result.retries, "requests");
            add("refused", result.refused, "requests");
        }
}

void run_decisions(report& out)
{
    constexpr int decisions = 20'000;
    constexpr int prefixes = 500;
    for (const int endpoints : {20, 200, 1800}) {
        const routing_model model(1, endpoints, 10);
        for (const named_policy& policy : policies()) {
            const auto router = policy.make(model.view()->nodes.front());
            const absl::Time now = absl::FromUnixSeconds(1'000'000);
            router->on_state(model.state());
            router->on_view(model.view(), now);
            std::vector<requests::route_query> queries;
            for (int i = 0; i < decisions; ++i)
                queries.push_back({.request = request_id("q" + std::to_string(i)),
                                   .service = service_id("s"),
                                   .route = {},
                                   .prefix = "catalogue " + std::to_string(i % prefixes),
                                   .prompt_tokens = 6000,
                                   .excluded = {}});
            const double started_ns = thread_nanoseconds();
            for (const requests::route_query& query : queries) {
                const auto chosen = router->choose(query, now);
                const endpoint_id& target = get_value(chosen).target.id;
                router->on_attempt_started(target, query, now);
                router->on_cached(target, query, 0, now);
                router->on_attempt_ended(target, query, false, now);
            }
            out.add("routing", "decision_" + std::to_string(endpoints) + "_endpoints", policy.name,
                    (thread_nanoseconds() - started_ns) / decisions, "ns");
        }
    }
}

} // namespace

void routing_benchmark::run(report& out)
{
    run_decisions(out);
    run_model(out);
}

} // namespace chivedeal::bench
