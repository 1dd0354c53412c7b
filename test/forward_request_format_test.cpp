#include "chivedeal/forward/request_format.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

// Guards against callers that return before the end of the delay, as it was rounded down.
TEST(request_format, never_shortens_a_retry_delay)
{
    EXPECT_EQ(format_retry_after(absl::Milliseconds(2040)), "2.040");
    EXPECT_EQ(format_retry_after(absl::Microseconds(400001)), "0.401");
    EXPECT_EQ(format_retry_after(absl::Minutes(10)), "600.000");
}

} // namespace
} // namespace chivedeal::forward
