#ifndef CHIVEDEAL_ENDPOINTS_ENDPOINT_SELECTOR_HPP
#define CHIVEDEAL_ENDPOINTS_ENDPOINT_SELECTOR_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chivedeal::endpoints {

/// An endpoint among which one is selected.
struct scored_endpoint
{
    double predicted_ms = 0;
    std::int64_t cached_tokens = 0;
    bool is_full = false;
    bool is_in_own_region = true;
};

/// Returns the index of the endpoint for a request. `scores` must not be empty.
///
/// Without peers, it is one of those with the lowest prediction. With peers, it is the better one of
/// two random endpoints that are similar to the best: nodes that choose by the same reports would
/// otherwise all choose the same one. `random` is uniform in [0, 1).
std::size_t select_endpoint(const std::vector<scored_endpoint>& scores, std::size_t peers,
                            double random);

} // namespace chivedeal::endpoints

#endif
