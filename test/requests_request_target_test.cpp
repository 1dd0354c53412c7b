#include "chivedeal/requests/request_target.hpp"

#include <gtest/gtest.h>

namespace chivedeal::requests {
namespace {

// Guards against an operator's path that is looked up with its percent-encoding.
TEST(request_target, decodes_path_and_parameters)
{
    EXPECT_EQ(parse_request_target("/v1/a%20b?prefix=%2Fteams%2Fhall&region=r+1&flag"),
              (request_target{
                  .path = "/v1/a b",
                  .parameters = {{"prefix", "/teams/hall"}, {"region", "r 1"}, {"flag", ""}}}));
    EXPECT_EQ(parse_request_target("/a+%4"), (request_target{.path = "/a+%4", .parameters = {}}));
    EXPECT_EQ(parse_request_target("/%"), (request_target{.path = "/%", .parameters = {}}));
}

} // namespace
} // namespace chivedeal::requests
