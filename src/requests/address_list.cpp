#include "chivedeal/requests/address_list.hpp"

#include "chivedeal/membership/membership_view.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace chivedeal::requests {

namespace {

// Nodes of other regions are listed as a fallback for the loss of the caller's region.
constexpr double other_region_weight = 0.01;
constexpr double suspect_weight_factor = 0.1;

bool is_usable(const membership::node_record& node)
{
    return node.ready && (node.status == membership::node_status::alive ||
                          node.status == membership::node_status::suspect);
}

} // namespace

std::vector<address_entry> list_addresses(const membership::membership_view& view,
                                          const region_id& region)
{
    std::vector<membership::node_record> usable;
    std::copy_if(view.nodes.begin(), view.nodes.end(), std::back_inserter(usable), is_usable);
    const auto sort_key = [&](const membership::node_record& node) {
        return std::tuple(node.region != region, node.status, node.region, node.id);
    };
    std::sort(usable.begin(), usable.end(), [&](const auto& left, const auto& right) {
        return sort_key(left) < sort_key(right);
    });
    std::vector<address_entry> entries;
    for (const membership::node_record& node : usable) {
        const double region_weight = node.region == region ? 1 : other_region_weight;
        const bool suspect = node.status == membership::node_status::suspect;
        entries.push_back({.listen = node.http,
                           .region = node.region,
                           .weight = region_weight * (suspect ? suspect_weight_factor : 1)});
    }
    return entries;
}

} // namespace chivedeal::requests
