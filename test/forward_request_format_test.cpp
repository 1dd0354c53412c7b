#include "chivedeal/forward/head_parser.hpp"
#include "chivedeal/forward/request_format.hpp"

#include <gtest/gtest.h>

#include <string>

namespace chivedeal::forward {
namespace {

// Guards against callers that return before the end of the delay, as it was rounded down.
TEST(request_format, never_shortens_a_retry_delay)
{
    EXPECT_EQ(format_retry_after(absl::Milliseconds(2040)), "2.040");
    EXPECT_EQ(format_retry_after(absl::Microseconds(400001)), "0.401");
    EXPECT_EQ(format_retry_after(absl::Minutes(10)), "600.000");
}

// Guards against callers whose counts overflow, so that they add to their workspace's quota.
TEST(head_parser, rejects_token_counts_whose_sum_overflows)
{
    const auto is_accepted = [](const std::string& counts) {
        const http_request request{.method = "POST",
                                   .target = "/",
                                   .fields = {{.name = "Host", .value = "h"},
                                              {.name = "Request-Id", .value = "id"},
                                              {.name = "Token-Counts", .value = counts}}};
        return is_ok(parse_request_head(
            request, {.request_id = "Request-Id", .token_counts = "Token-Counts"}));
    };
    EXPECT_TRUE(is_accepted("1000000000,1000000000"));
    EXPECT_FALSE(is_accepted("9223372036854775807,9223372036854775807"));
    EXPECT_FALSE(is_accepted("1000000001,1"));
    EXPECT_FALSE(is_accepted("1,-1"));
    EXPECT_TRUE(parse_prefix("a:9223372036854775807,b:1").empty());
}

// Guards against long names of prompt parts that fill the memory of the node, as they are kept for
// each endpoint, and against names that are confused when they are cut off.
TEST(head_parser, limits_the_length_of_part_names)
{
    const std::string longest(128, 'a');
    const std::string left(8000, 'a');
    const std::string right = left + "b";
    const auto parts = parse_prefix(longest + ":1," + left + ":2," + right + ":3," + left + ":4");
    ASSERT_EQ(parts.size(), 4U);
    EXPECT_EQ(parts[0].id, longest);
    EXPECT_LE(parts[1].id.size(), 32U);
    EXPECT_NE(parts[1].id, parts[2].id);
    EXPECT_EQ(parts[1].id, parts[3].id);
}

} // namespace
} // namespace chivedeal::forward
