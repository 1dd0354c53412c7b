#include "chivedeal/forward/node_event.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

// Guards against large events: with 89 nodes, two rings of 4,096 events that contained beacons took
// most of a node's memory.
TEST(node_event, fits_in_128_bytes) { EXPECT_LE(sizeof(node_event), 128U); }

} // namespace
} // namespace chivedeal::forward
