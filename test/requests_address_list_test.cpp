#include "chivedeal/requests/address_list.hpp"

#include "chivedeal/membership/membership_view.hpp"

#include <gtest/gtest.h>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)
using membership::node_status;

namespace {

membership::node_record node_of(const std::string& id, const std::string& region,
                                node_status status, bool ready = true)
{
    return {.id = node_id(id),
            .http = {.host = id, .port = 80},
            .region = region_id(region),
            .status = status,
            .ready = ready};
}

} // namespace

// Guards against directing callers to a node that is leaving, dead or not ready.
TEST(address_list, lists_usable_nodes_own_region_first)
{
    membership::membership_view view;
    view.nodes = {
        node_of("far", "r2", node_status::alive),  node_of("slow", "r1", node_status::suspect),
        node_of("near", "r1", node_status::alive), node_of("leaving", "r1", node_status::leaving),
        node_of("dead", "r1", node_status::dead),  node_of("new", "r1", node_status::alive, false)};
    std::vector<std::string> hosts;
    double last_weight = 1;
    for (const address_entry& entry : list_addresses(view, region_id("r1"))) {
        hosts.push_back(entry.listen.host);
        EXPECT_LE(entry.weight, last_weight);
        last_weight = entry.weight;
    }
    const std::vector<std::string> expected{"near", "slow", "far"};
    EXPECT_EQ(hosts, expected);
}
