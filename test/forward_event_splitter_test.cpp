#include "chivedeal/forward/event_splitter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chivedeal::forward {
namespace {

TEST(event_splitter, passes_whole_events_only)
{
    event_splitter events;
    EXPECT_EQ(events.feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(events.last_id(), "1");
    EXPECT_TRUE(events.has_partial());
    EXPECT_EQ(events.feed("ta: b\r\n\r\n"), "id: 2\ndata: b\r\n\r\n");
    EXPECT_EQ(events.last_id(), "2");
}

// The part of an event that a broken stream left must not be joined with the next endpoint's.
TEST(event_splitter, drops_the_part_that_a_broken_stream_left)
{
    event_splitter events;
    events.feed("id: 1\ndata: a\n\nid: 2\ndata: hal");
    events.drop_partial();
    EXPECT_EQ(events.feed("id: 2\ndata: half\n\n"), "id: 2\ndata: half\n\n");
}

RC_GTEST_PROP(event_splitter, keeps_all_bytes_however_they_are_cut, ())
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 3\ndata: c\n\n";
    event_splitter events;
    std::string passed;
    std::size_t at = 0;
    while (at < stream.size()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 9);
        passed += events.feed(stream.substr(at, size));
        at += size;
    }
    RC_ASSERT(passed == stream);
    RC_ASSERT(events.last_id() == "3");
}

} // namespace
} // namespace chivedeal::forward
