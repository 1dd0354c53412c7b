#include "chivedeal/regions/cold_share.hpp"

#include <algorithm>
#include <cmath>

namespace chivedeal::regions {

namespace {

// A node without requests loses its permit after this time. If permits stayed valid for their whole
// period, 400 idle nodes could use one each in the same second.
constexpr absl::Duration permit_lifetime = absl::Milliseconds(200);
// With few nodes, the bound holds for any phases of their permits, and the rate is limited only by
// the delay between the choice of an endpoint and the write to it.
constexpr double max_rate_of_few_nodes = 0.8;
// With many nodes, the number of valid permits in a second varies like a Poisson variable. Its mean
// is at most this fraction of the rate, and this many standard deviations below the bound, so that
// it exceeds the bound about once in a million seconds.
constexpr double max_mean_of_many_nodes = 0.6;
constexpr double min_deviations = 6;

} // namespace

cold_share compute_cold_share(const cold_spec& spec, const cold_tolerance& tolerance, int nodes)
{
    const double node_count = std::max(1, nodes);
    const double bound = spec.requests_per_s * tolerance.factor + tolerance.slack_requests;
    // With permits that are valid for their whole period, a node uses at most two more in a second
    // than it gets on average: the one issued before, and a fraction of one.
    const double guaranteed_rate =
        std::min(spec.requests_per_s * max_rate_of_few_nodes, bound - 2 * node_count);
    if (guaranteed_rate >= spec.requests_per_s * max_mean_of_many_nodes && guaranteed_rate > 0) {
        const absl::Duration period = absl::Seconds(node_count / guaranteed_rate);
        return {.period = period, .lifetime = period};
    }
    // Solves mean + min_deviations * sqrt(mean) = bound.
    const double root =
        (std::sqrt(min_deviations * min_deviations + 4 * std::max(0.0, bound)) - min_deviations) /
        2;
    const double mean = std::min(spec.requests_per_s * max_mean_of_many_nodes, root * root);
    if (mean <= 0)
        return {};
    const double rate = mean / (1 + absl::ToDoubleSeconds(permit_lifetime));
    const absl::Duration period = absl::Seconds(node_count / rate);
    return {.period = period, .lifetime = std::min(period, permit_lifetime)};
}

} // namespace chivedeal::regions
