#include "chivedeal/requests/address_list.hpp"

#include "chivedeal/membership/membership_view.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace chivedeal::requests {

namespace {

// Nodes of other regions are there for the loss of the own one.
constexpr double far_weight = 0.01;
constexpr double suspect_factor = 0.1;

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
    const auto rank = [&](const membership::node_record& node) {
        return std::tuple(node.region != region, node.status, node.region, node.id);
    };
    std::sort(usable.begin(), usable.end(),
              [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
    std::vector<address_entry> entries;
    for (const membership::node_record& node : usable) {
        const double near = node.region == region ? 1 : far_weight;
        const bool suspect = node.status == membership::node_status::suspect;
        entries.push_back({.listen = node.http,
                           .region = node.region,
                           .weight = near * (suspect ? suspect_factor : 1)});
    }
    return entries;
}

} // namespace chivedeal::requests
