#include "chivedeal/endpoints/endpoint_selector.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chivedeal::endpoints {

namespace {

// An endpoint is drawn for a choice only if its prediction is at most this multiple of the lowest
// one and this time above it: as long as a full batch may take longer than an idle endpoint.
constexpr double max_drawn_ratio = 2;
constexpr double max_drawn_excess_ms = 100;
// Of two random endpoints, the better one is chosen, so that one that looks idle to all nodes gets
// at most 2 / n of the requests. With three draws, 400 nodes whose reports are up to a second old
// overload such an endpoint before they see it.
constexpr std::size_t draws_per_choice = 2;
// Predictions that differ by less are equal. Without this, all nodes choose the first of several
// idle endpoints when they start together.
constexpr double max_tie_ms = 1;
// A node without peers knows the load and needs no draws; from this many on, all choices are draws.
constexpr double peers_for_draws_only = 16;
// The digits of the random number below 1 / this decide whether endpoints are drawn. Those above
// select the side of a version split.
constexpr double version_split_resolution = 4096;
} // namespace

std::size_t select_endpoint(const std::vector<scored_endpoint>& scores, std::size_t peers,
                            double random)
{
    const auto best_position = std::min_element(
        scores.begin(), scores.end(), [](const scored_endpoint& a, const scored_endpoint& b) {
            return std::pair(a.is_full, a.predicted_ms) < std::pair(b.is_full, b.predicted_ms);
        });
    const auto best_index = static_cast<std::size_t>(best_position - scores.begin());
    const scored_endpoint& best = *best_position;
    const double drawn_share = std::min(1.0, static_cast<double>(peers) / peers_for_draws_only);
    const double fraction = std::fmod(random * version_split_resolution, 1);
    const bool draws_all = fraction >= 1 - drawn_share;
    // Requests whose shared part is cached stay together, and traffic between regions doesn't grow.
    const double max_predicted_ms = draws_all
                                        ? best.predicted_ms * max_drawn_ratio + max_drawn_excess_ms
                                        : best.predicted_ms + max_tie_ms;
    std::vector<std::size_t> similar{best_index};
    for (std::size_t i = 0; i < scores.size(); ++i)
        if (scores[i].predicted_ms <= max_predicted_ms && i != best_index &&
            scores[i].is_full == best.is_full && scores[i].cached_tokens == best.cached_tokens &&
            scores[i].is_in_own_region == best.is_in_own_region)
            similar.push_back(i);
    if (!draws_all)
        return similar[static_cast<std::size_t>(fraction / (1 - drawn_share) *
                                                static_cast<double>(similar.size()))];
    const std::size_t draws = std::min(similar.size(), draws_per_choice);
    for (std::size_t i = 0; i < draws; ++i) {
        const std::uint64_t drawn = XXH3_64bits_withSeed(&random, sizeof(random), i);
        std::swap(similar[i], similar[i + drawn % (similar.size() - i)]);
    }
    return *std::min_element(similar.begin(), similar.begin() + static_cast<std::ptrdiff_t>(draws),
                             [&scores](std::size_t a, std::size_t b) {
                                 return scores[a].predicted_ms < scores[b].predicted_ms;
                             });
}

} // namespace chivedeal::endpoints
