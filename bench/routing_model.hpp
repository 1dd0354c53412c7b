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

/// One request of a generated input.
struct model_request
{
    /// Since the start of the run.
    absl::Duration arrival;
    int node = 0;
    std::string prefix;
    std::uint64_t prompt_tokens = 0;
    int answer_tokens = 0;
};

/// A generated load and what goes wrong during it.
struct model_input
{
    std::string name;
    std::vector<model_request> requests;
    /// Age of load reports and cache events when they reach the nodes; infinite for none.
    absl::Duration report_age = absl::Milliseconds(500);
    /// When the endpoints of zone `z0` are lost without notice; infinite for never.
    absl::Duration zone_lost = absl::InfiniteDuration();
};

/// What a run measured.
struct model_result
{
    /// Computed although another computation of the same prefix went before.
    double tokens_recomputed = 0;
    /// Times to the first token, retries included.
    std::vector<double> first_token_ms;
    double cross_region_bytes = 0;
    /// Highest over mean work of an endpoint.
    double work_max_over_mean = 0;
    int retries = 0;
    int refused = 0;
};

/// Endpoints as queues with slots, one prompt computation at a time and a bounded prefix cache.
/// Nodes route with one policy object each and see reports late.
class routing_model
{
public:
    using make_policy =
        std::function<std::unique_ptr<requests::route_policy>(const membership::node_record&)>;

    /// `zones` zones with two in each region; endpoints and nodes are dealt out over them.
    routing_model(int nodes, int endpoints, int zones);

    model_result run(const model_input& input, const make_policy& make) const;

    /// Returns the state and view that the nodes of a run have.
    std::shared_ptr<const state::cluster_state> state() const { return m_state; }
    std::shared_ptr<const membership::membership_view> view() const { return m_view; }

private:
    class simulation;

    std::shared_ptr<const state::cluster_state> m_state;
    std::shared_ptr<const membership::membership_view> m_view;
};

/// Equal large requests: few prefixes, each sent many times from all nodes.
model_input shared_prefix_load(std::uint64_t seed);
/// Half as many equal large requests among small ones of their own.
model_input mixed_load(std::uint64_t seed);

} // namespace chivedeal::bench

#endif
