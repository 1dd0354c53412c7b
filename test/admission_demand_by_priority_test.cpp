#include "chivedeal/admission/demand_by_priority.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace chivedeal::admission {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

// If the fractions did not add up, the nodes together would admit more than the limit, or less. No
// priority may starve, and none may get more than a more urgent one.
RC_GTEST_PROP(demand_by_priority, divides_exactly_what_may_be_admitted, ())
{
    const auto costs = *rc::gen::container<std::map<int, int>>(rc::gen::inRange(0, 10),
                                                               rc::gen::inRange(1, 100'000));
    const double fraction = *rc::gen::inRange(0, 1000) / 1000.0;
    demand_by_priority demand;
    double asked = 0;
    for (const auto& [priority, cost] : costs) {
        demand.on_request(priority, cost, start);
        asked += cost;
    }
    double granted = 0;
    double previous = 1;
    for (const auto& [priority, cost] : costs) {
        const double own = demand.fraction_for(priority, fraction);
        RC_ASSERT(own >= 0.25 * fraction);
        RC_ASSERT(own <= previous + 1e-9);
        previous = own;
        granted += own * cost;
    }
    RC_ASSERT(granted <= fraction * asked * (1 + 1e-9) + 1e-6);
    RC_ASSERT(granted >= fraction * asked * (1 - 1e-9) - 1e-6);
}

// Guards against refusing less urgent requests while there is room for all.
TEST(demand_by_priority, admits_all_without_contention)
{
    demand_by_priority demand;
    demand.on_request(0, 100, start);
    demand.on_request(9, 100, start);
    EXPECT_EQ(demand.fraction_for(9, 1), 1);
}

// Two large requests that arrive together would make a node refuse for seconds.
TEST(demand_by_priority, follows_a_rise_only_if_several_requests_show_it)
{
    demand_by_priority demand;
    demand.on_request(0, 1000, start);
    demand.on_request(0, 1000, start);
    EXPECT_DOUBLE_EQ(demand.total(start), 1000);
    for (int i = 0; i < 8; ++i)
        demand.on_request(0, 1000, start);
    EXPECT_DOUBLE_EQ(demand.total(start), 25'000);
    EXPECT_LT(demand.total(start + absl::Seconds(10)), 100);
}

} // namespace
} // namespace chivedeal::admission
