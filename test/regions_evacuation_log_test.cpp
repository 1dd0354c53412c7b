#include "chivedeal/regions/evacuation_log.hpp"

#include <gtest/gtest.h>

namespace chivedeal::regions {
namespace {

const zone_id a("a");
const zone_id b("b");

TEST(evacuation_log, follows_the_newest_record_of_each_zone)
{
    evacuation_log log;
    EXPECT_TRUE(log.on_record({.zone = a, .offset = 1}));
    EXPECT_FALSE(log.on_record({.zone = a, .offset = 2}));
    EXPECT_TRUE(log.on_record({.zone = b, .offset = 3}));
    EXPECT_EQ(log.zones(), (std::set<zone_id>{a, b}));
    EXPECT_TRUE(log.on_record({.zone = a, .in_force = false, .offset = 4}));
    EXPECT_EQ(log.zones(), std::set<zone_id>{b});
    // Removal of an evacuation that was never seen.
    EXPECT_FALSE(log.on_record({.zone = zone_id("c"), .in_force = false, .offset = 5}));
}

// Guards against an evacuation that ends because a relayed batch repeats an older removal.
TEST(evacuation_log, ignores_older_records)
{
    evacuation_log log;
    log.on_record({.zone = a, .in_force = false, .offset = 1});
    log.on_record({.zone = a, .offset = 2});
    EXPECT_FALSE(log.on_record({.zone = a, .in_force = false, .offset = 1}));
    EXPECT_EQ(log.zones(), std::set<zone_id>{a});
}

// Guards against an evacuation that stays in force on a node that missed its removal, of which the
// compacted topic shows nothing.
TEST(evacuation_log, ends_evacuations_that_are_missing_from_a_complete_read)
{
    evacuation_log log;
    log.on_record({.zone = a, .offset = 1});
    EXPECT_TRUE(log.on_list({{.zone = b, .offset = 3}}));
    EXPECT_EQ(log.zones(), std::set<zone_id>{b});
    EXPECT_FALSE(log.on_list({{.zone = b, .offset = 3}}));
    EXPECT_TRUE(log.on_list({}));
    EXPECT_TRUE(log.zones().empty());
}

} // namespace
} // namespace chivedeal::regions
