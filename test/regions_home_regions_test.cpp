#include "chivedeal/forward/address_book.hpp"
#include "chivedeal/forward/route_index.hpp"
#include "chivedeal/regions/home_regions.hpp"

#include <gtest/gtest.h>

namespace chivedeal::regions {
namespace {

const region_id east("east");
const region_id west("west");
const region_id north("north");

// Guards against taking "nothing in common" for "no restriction".
TEST(home_regions, allows_only_what_route_and_workspace_have_in_common)
{
    const home_regions any;
    EXPECT_TRUE(any.allows(east));
    EXPECT_TRUE(any.allows(region_id()));
    EXPECT_FALSE(home_regions(std::vector<region_id>{}).is_restricted());
    const home_regions eastern({east, north});
    const home_regions western({west, north});
    EXPECT_EQ(eastern.intersected(western), home_regions({north}));
    EXPECT_EQ(any.intersected(western), western);
    EXPECT_EQ(western.intersected(any), western);
    const home_regions none = home_regions({east}).intersected(home_regions({west}));
    EXPECT_TRUE(none.is_restricted());
    for (const region_id& region : {east, west, region_id()})
        EXPECT_FALSE(none.allows(region));
    // Zones whose region is unknown must not match a malformed list.
    EXPECT_FALSE(home_regions({region_id()}).allows(region_id()));
}

TEST(home_regions, combines_the_lists_of_route_and_workspace_for_a_request)
{
    const forward::route route{.homes = home_regions({east, north})};
    const forward::workspace_spec workspace{.homes = home_regions({north, west})};
    EXPECT_EQ((forward::route_match{.matched = &route}).homes(), home_regions({east, north}));
    EXPECT_EQ((forward::route_match{.matched = &route, .workspace = &workspace}).homes(),
              home_regions({north}));
}

// Guards against directory responses for hosts without home regions that differ from before, and
// for hosts with them that name nodes elsewhere.
TEST(home_regions, of_a_host_are_those_of_its_routes)
{
    forward::traffic_config config{.version = 1};
    config.routes = {
        {.name = "a", .host = "h", .path_prefix = "/a/", .homes = home_regions({east})},
        {.name = "b", .host = "h", .path_prefix = "/b/", .homes = home_regions({west})},
        {.name = "c", .host = "h", .path_prefix = "/c/"},
        {.name = "d", .host = "free", .path_prefix = "/"}};
    const forward::route_index index(std::move(config));
    EXPECT_TRUE(index.homes_of_host("h").allows(east));
    EXPECT_TRUE(index.homes_of_host("h:8080").allows(west));
    EXPECT_FALSE(index.homes_of_host("h").allows(north));
    EXPECT_FALSE(index.homes_of_host("free").is_restricted());
    EXPECT_FALSE(index.homes_of_host("unknown").is_restricted());
}

TEST(home_regions, decide_which_nodes_the_directory_names)
{
    const auto front = [](std::uint16_t port) { return address{.host = "10.0.0.1", .port = port}; };
    forward::address_book book;
    book.on_beacon(
        {.node = node_id("n1"), .front_address = front(1), .region = east, .ready = true});
    book.on_beacon(
        {.node = node_id("n2"), .front_address = front(2), .region = west, .ready = true});
    book.on_beacon(
        {.node = node_id("n3"), .front_address = front(3), .region = north, .ready = true});
    book.on_beacon({.node = node_id("n4"), .front_address = front(4), .region = east});
    EXPECT_EQ(book.ready_fronts(north, home_regions({east})),
              (std::vector<address>{front(1), front(3)}));
    EXPECT_EQ(book.ready_fronts(east, home_regions({east})), std::vector<address>{front(1)});
    EXPECT_TRUE(book.ready_fronts(region_id("south"), home_regions({region_id("south")})).empty());
    EXPECT_EQ(book.known_count(), 4);
}

} // namespace
} // namespace chivedeal::regions
