#ifndef BENCH_ROUTING_MODEL_HPP
#define BENCH_ROUTING_MODEL_HPP

#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/requests/route_policy.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal::bench {

/// A request of a generated load.
struct model_request
{
    /// Time since the start of the run.
    absl::Duration arrival;
    int node = 0;
    std::string prefix;
    std::uint64_t prompt_tokens = 0;
    int answer_tokens = 0;
};

/// A generated load and the faults that occur during it.
struct model_input
{
    std::string name;
    std::vector<model_request> requests;
    /// Age of load reports and cache events when they reach the nodes; infinite for none.
    absl::Duration report_age = absl::Milliseconds(500);
    /// When the endpoints of zone `z0` fail without notice; infinite for never.
    absl::Duration zone_lost = absl::InfiniteDuration();
};

/// Measurements of a run.
struct model_result
{
    /// Prompt tokens computed although the same prefix was computed before.
    double tokens_recomputed = 0;
    /// Times to first token, including retries.
    std::vector<double> first_token_ms;
    double cross_region_bytes = 0;
    /// Ratio of the highest to the mean work of an endpoint.
    double work_max_over_mean = 0;
    int retries = 0;
    int refused = 0;
};

/// Models endpoints as queues with slots, one prefill at a time and a bounded prefix cache. Each
/// node routes with its own policy object and receives reports with a delay.
class routing_model
{
public:
    using make_policy =
        std::function<std::unique_ptr<requests::route_policy>(const membership::node_record&)>;

    /// Creates `zones` zones, two per region; endpoints and nodes are distributed over them evenly.
    routing_model(int nodes, int endpoints, int zones);

    model_result run(const model_input& input, const make_policy& make) const;

    /// Return the state and the view that all nodes of a run use.
    std::shared_ptr<const state::cluster_state> state() const { return m_state; }
    std::shared_ptr<const membership::membership_view> view() const { return m_view; }

private:
    class simulation;

    std::shared_ptr<const state::cluster_state> m_state;
    std::shared_ptr<const membership::membership_view> m_view;
};

/// Large requests of equal size with few prefixes, each sent many times from all nodes. Reported as
/// `morning`.
model_input shared_prefix_load(std::uint64_t seed);
/// One in three requests is a large one with a shared prefix; the others are small, each with its
/// own prefix.
model_input mixed_load(std::uint64_t seed);

} // namespace chivedeal::bench

#endif
