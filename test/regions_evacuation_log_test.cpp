#include "chivedeal/regions/evacuation_log.hpp"

#include <gtest/gtest.h>

namespace chivedeal::regions {
namespace {

const zone_id a("a");
const zone_id b("b");
const absl::Time start = absl::FromUnixSeconds(1000);

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
    EXPECT_TRUE(log.on_list({{.zone = b, .offset = 3}}, start));
    EXPECT_EQ(log.zones(), std::set<zone_id>{b});
    EXPECT_FALSE(log.on_list({{.zone = b, .offset = 3}}, start));
    EXPECT_TRUE(log.on_list({}, start));
    EXPECT_TRUE(log.zones().empty());
}

// Guards against requests to an evacuated zone after the store was restored from a copy that is older
// than the evacuation, and against an evacuation that never ends because its removal was lost.
TEST(evacuation_log, keeps_evacuations_until_a_restored_store_is_rewritten)
{
    evacuation_log log;
    log.on_record({.zone = a, .offset = 7});
    EXPECT_FALSE(log.must_list_again(start + absl::Hours(1)));
    log.on_restored(start);
    EXPECT_FALSE(log.on_list({}, start));
    EXPECT_EQ(log.zones(), std::set<zone_id>{a});
    EXPECT_FALSE(log.must_list_again(start + absl::Seconds(2)));
    // Offsets of the restored store begin anew.
    EXPECT_TRUE(log.on_record({.zone = a, .in_force = false, .offset = 2}));
    EXPECT_TRUE(log.on_record({.zone = b, .offset = 3}));
    EXPECT_TRUE(log.must_list_again(start + absl::Seconds(3)));
    EXPECT_TRUE(log.on_list({}, start + absl::Seconds(3)));
    EXPECT_TRUE(log.zones().empty());
    EXPECT_FALSE(log.must_list_again(start + absl::Seconds(4)));
}

} // namespace
} // namespace chivedeal::regions
