#include "chivedeal/forward/event_splitter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chivedeal::forward {
namespace {

// A partial event passed to the caller would be sent twice when the stream is resumed elsewhere.
TEST(event_splitter, returns_complete_events_only)
{
    event_splitter splitter;
    EXPECT_EQ(splitter.feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(splitter.last_id(), "1");
    EXPECT_TRUE(splitter.has_partial());
    EXPECT_EQ(splitter.feed("ta: b\r\n\r\n"), "id: 2\ndata: b\r\n\r\n");
    EXPECT_EQ(splitter.last_id(), "2");
}

// If the partial event of a broken stream is kept, the caller gets it joined with the first event
// of the next endpoint.
TEST(event_splitter, drops_partial_event_of_broken_stream)
{
    event_splitter splitter;
    splitter.feed("id: 1\ndata: a\n\nid: 2\ndata: hal");
    splitter.drop_partial();
    EXPECT_EQ(splitter.feed("id: 2\ndata: half\n\n"), "id: 2\ndata: half\n\n");
}

// Event boundaries and IDs may be split across reads; none of their bytes may be lost.
RC_GTEST_PROP(event_splitter, preserves_all_bytes_for_any_chunk_sizes, ())
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 3\ndata: c\n\n";
    event_splitter splitter;
    std::string output;
    std::size_t offset = 0;
    while (offset < stream.size()) {
        const auto chunk_size = *rc::gen::inRange<std::size_t>(1, 9);
        output += splitter.feed(stream.substr(offset, chunk_size));
        offset += chunk_size;
    }
    RC_ASSERT(output == stream);
    RC_ASSERT(splitter.last_id() == "3");
}

} // namespace
} // namespace chivedeal::forward
