#include "chivedeal/forward/status_line_detector.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstddef>
#include <string>

namespace chivedeal::forward {
namespace {

bool detects(const std::string& stream)
{
    status_line_detector detector;
    return detector.feed(stream);
}

TEST(status_line_detector, finds_a_status_line_at_the_start_of_a_line)
{
    EXPECT_TRUE(detects("HTTP/1.1 503 Full\r\n"));
    EXPECT_TRUE(detects("id: 1\ndata: a\n\nHTTP/1.0 200 OK\r\n"));
}

// An answer may well talk about HTTP.
TEST(status_line_detector, ignores_one_inside_a_line)
{
    EXPECT_FALSE(detects("data: HTTP/1.1 503 Full\n\n"));
    EXPECT_FALSE(detects("HTTP/1.1 is a protocol\n"));
}

// Reads may split a line anywhere.
RC_GTEST_PROP(status_line_detector, finds_it_for_any_chunk_sizes, ())
{
    const std::string stream = "id: 1\ndata: a\n\nHTTP/1.1 500 Error\r\n\r\n";
    status_line_detector detector;
    bool found = false;
    std::size_t offset = 0;
    while (offset < stream.size()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 9);
        found = detector.feed(stream.substr(offset, size)) || found;
        offset += size;
    }
    RC_ASSERT(found);
}

} // namespace
} // namespace chivedeal::forward
