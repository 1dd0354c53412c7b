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
