#include "chivedeal/forward/route_index.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

traffic_config make_config()
{
    return {
        .version = 1,
        .routes = {{.name = "short", .host = "a.example", .path_prefix = "/x/"},
                   {.name = "long", .host = "a.example", .path_prefix = "/x/y/"},
                   {.name = "open", .host = "a.example", .path_prefix = "/z/", .is_public = true}},
        .services = {{.name = service_id("drafts"), .max_connections = 5}},
        .workspaces = {{.name = workspace_id("w1"), .keys = {"k1", "k2"}}}};
}

const std::string& route_name(const result<route_match>& match)
{
    return get_value(match).matched->name;
}

TEST(route_index, prefers_longest_prefix)
{
    const route_index index(make_config());
    EXPECT_EQ(route_name(index.match("a.example", "/x/y/1", "k1")), "long");
    EXPECT_EQ(route_name(index.match("a.example", "/x/1", "k1")), "short");
}

// The prefix "/x/" ends with a slash, so it must not match "/xy".
TEST(route_index, matches_whole_path_segments)
{
    const route_index index(make_config());
    EXPECT_EQ(get_error(index.match("a.example", "/xy", "k1")).code, result_code::unknown_route);
    EXPECT_EQ(get_error(index.match("b.example", "/x/1", "k1")).code, result_code::unknown_route);
}

TEST(route_index, ignores_query_and_port)
{
    const route_index index(make_config());
    EXPECT_EQ(get_error(index.match("a.example", "/q?/x/", "k1")).code, result_code::unknown_route);
    EXPECT_EQ(route_name(index.match("a.example:80", "/x/1?b", "k1")), "short");
}

TEST(route_index, finds_workspace_by_key)
{
    const route_index index(make_config());
    EXPECT_EQ(get_value(index.match("a.example", "/x/1", "k2")).workspace->name,
              workspace_id("w1"));
    EXPECT_EQ(get_error(index.match("a.example", "/x/1", "k3")).code,
              result_code::unknown_workspace);
    EXPECT_EQ(get_error(index.match("a.example", "/x/1", "")).code, result_code::unknown_workspace);
}

TEST(route_index, requires_no_key_on_public_routes)
{
    const route_index index(make_config());
    EXPECT_EQ(get_value(index.match("a.example", "/z/1", "")).workspace, nullptr);
}

} // namespace
} // namespace chivedeal::forward
