#include "chivedeal/forward/node_event.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

// Two rings of 4,096 events that held beacons were most of a node's memory among 89 nodes.
TEST(node_event, takes_little_room_in_a_ring) { EXPECT_LE(sizeof(node_event), 128U); }

} // namespace
} // namespace chivedeal::forward
