#include "chivedeal/forward/http_fields.hpp"
#include "chivedeal/forward/request_reader.hpp"
#include "chivedeal/forward/response_reader.hpp"

#include "absl/strings/str_format.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace chivedeal::forward {
namespace {

int failure_status_of(const std::string& bytes)
{
    request_reader reader({.max_header_bytes = 512, .max_body_bytes = 16});
    reader.feed(bytes);
    return reader.current_state() == request_reader::state::failed ? reader.failure_status() : 0;
}

TEST(request_reader, reads_a_body_with_content_length_and_leaves_the_next_request)
{
    request_reader reader({});
    const std::string first =
        "POST /a?b=1 HTTP/1.1\r\nHost: h\r\nX-a: 1\r\nContent-Length: 3\r\n\r\nabc";
    EXPECT_EQ(reader.feed(first + "GET"), first.size());
    ASSERT_EQ(reader.current_state(), request_reader::state::complete);
    const http_request request = reader.take();
    EXPECT_EQ(request.method, "POST");
    EXPECT_EQ(request.target, "/a?b=1");
    EXPECT_EQ(request.body, "abc");
    EXPECT_EQ(*find_field(request.fields, "x-A"), "1");
}

TEST(request_reader, reads_a_chunked_body)
{
    request_reader reader({});
    reader.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
    ASSERT_EQ(reader.current_state(), request_reader::state::complete);
    EXPECT_EQ(reader.take().body, "abc");
}

// If two parsers read different framing from the same bytes, a request can be smuggled inside
// another.
TEST(request_reader, rejects_ambiguous_framing)
{
    EXPECT_EQ(failure_status_of("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
              400);
    EXPECT_EQ(failure_status_of("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                                "Content-Length: 4\r\n\r\nabcd"),
              400);
    EXPECT_EQ(
        failure_status_of("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n"),
        400);
    EXPECT_EQ(
        failure_status_of("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n"),
        400);
    EXPECT_EQ(failure_status_of("GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"), 400);
    EXPECT_EQ(failure_status_of("GET / HTTP/1.1\r\n\r\n"), 400);
}

TEST(request_reader, fails_with_413_for_a_large_body_and_431_for_large_headers)
{
    EXPECT_EQ(failure_status_of("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 17\r\n\r\n"), 413);
    EXPECT_EQ(failure_status_of("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x')), 431);
}

// Short fields take many times their bytes, and callers may send thousands of them.
TEST(request_reader, counts_the_memory_of_short_fields)
{
    constexpr std::size_t fields = 3000;
    std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n";
    for (std::size_t i = 0; i < fields; ++i)
        head += "a:\r\n";
    request_reader reader({});
    reader.feed(head + "\r\nabc");
    EXPECT_GE(reader.held_bytes(), fields * sizeof(http_field) + 3);
    EXPECT_LT(reader.held_bytes(), 2 * fields * sizeof(http_field));
}

// A trailer field could otherwise pass for one of the head, which has been checked by then.
TEST(request_reader, discards_trailers)
{
    request_reader reader({});
    reader.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nab\r\n0\r\nAuthorization: Bearer other\r\nHost: i\r\n\r\n");
    ASSERT_EQ(reader.current_state(), request_reader::state::complete);
    const http_request request = reader.take();
    EXPECT_EQ(request.body, "ab");
    EXPECT_EQ(count_field(request.fields, "Host"), 1);
    EXPECT_EQ(find_field(request.fields, "Authorization"), nullptr);
}

// A read may end anywhere in a request, also inside a chunk header; no byte may be lost or read
// twice.
RC_GTEST_PROP(request_reader, reads_the_same_request_for_any_split_of_its_bytes, ())
{
    const std::string bytes = "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
    request_reader reader({});
    std::string pending;
    std::size_t position = 0;
    while (position < bytes.size()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 12);
        pending += bytes.substr(position, size);
        position += size;
        pending.erase(0, reader.feed(pending));
    }
    RC_ASSERT(reader.current_state() == request_reader::state::complete);
    RC_ASSERT(reader.take().body == "hello world");
}

// Malformed input from a hostile caller must not crash the reader or make it throw.
RC_GTEST_PROP(request_reader, does_not_crash_on_arbitrary_bytes, (const std::string& bytes))
{
    request_reader reader({});
    reader.feed(bytes);
    RC_SUCCEED("no crash");
}

// A response that is cut off by the end of the connection must not be delivered as complete.
TEST(response_reader, completes_only_with_the_whole_body)
{
    response_reader reader(false);
    std::string body;
    reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab", body);
    EXPECT_TRUE(reader.has_head());
    EXPECT_FALSE(reader.complete());
    reader.on_eof();
    EXPECT_FALSE(reader.complete());
    EXPECT_TRUE(reader.failed());
}

// Bytes after a response belong to another one and must not be appended to its body.
TEST(response_reader, leaves_bytes_after_the_response)
{
    response_reader reader(false);
    std::string body;
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    EXPECT_EQ(reader.feed(response + "HTTP/1.1", body), response.size());
    EXPECT_TRUE(reader.complete());
    EXPECT_EQ(body, "ab");
}

TEST(response_reader, completes_a_response_without_length_at_eof)
{
    response_reader reader(false);
    std::string body;
    reader.feed("HTTP/1.1 200 OK\r\n\r\nab", body);
    EXPECT_FALSE(reader.complete());
    reader.on_eof();
    EXPECT_TRUE(reader.complete());
    EXPECT_FALSE(reader.keep_alive());
}

TEST(response_reader, skips_interim_responses)
{
    response_reader reader(false);
    std::string body;
    reader.feed(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nKeep-Alive: timeout=7\r\n\r\n",
        body);
    EXPECT_TRUE(reader.complete());
    EXPECT_EQ(reader.head().status, 204);
    EXPECT_EQ(reader.keep_alive_timeout(), absl::Seconds(7));
}

TEST(response_reader, expects_no_body_in_a_response_to_head)
{
    response_reader reader(true);
    std::string body;
    reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", body);
    EXPECT_TRUE(reader.complete());
}

TEST(response_reader, fails_on_bytes_that_are_not_http)
{
    response_reader reader(false);
    std::string body;
    reader.feed("garbage that is no answer\r\n\r\n", body);
    EXPECT_TRUE(reader.failed());
}

// Guards against statuses that no HTTP caller understands, and against taking one for interim.
TEST(response_reader, fails_on_statuses_that_are_not_http)
{
    for (int status = 0; status <= 999; ++status) {
        response_reader reader(false);
        std::string body;
        reader.feed(absl::StrFormat("HTTP/1.1 %03d X\r\nContent-Length: 0\r\n\r\n", status), body);
        EXPECT_EQ(reader.failed(), status < 100 || status > 599) << status;
        EXPECT_EQ(reader.complete(), status >= 200 && status <= 599) << status;
    }
}

// Malformed input from an endpoint must not crash the reader or make it throw.
RC_GTEST_PROP(response_reader, does_not_crash_on_arbitrary_bytes, (const std::string& bytes))
{
    response_reader reader(false);
    std::string body;
    reader.feed(bytes, body);
    reader.on_eof();
    RC_SUCCEED("no crash");
}

// Callers may send thousands of fields and options; comparing each with each takes too long.
TEST(http_fields, removes_thousands_of_fields_that_connection_names)
{
    constexpr int names = 4000;
    std::vector<http_field> fields{{.name = "Host", .value = "h"}};
    std::string options = "close";
    for (int i = 0; i < names; ++i) {
        options += ", X" + std::to_string(i);
        fields.push_back({.name = "x" + std::to_string(i), .value = "1"});
    }
    fields.push_back({.name = "Connection", .value = options});
    EXPECT_EQ(end_to_end_fields(fields, {}),
              (std::vector<http_field>{{.name = "Host", .value = "h"}}));
}

TEST(http_fields, removes_hop_by_hop_and_dropped_fields)
{
    const auto remaining = end_to_end_fields({{"Connection", "close, X-Hop"},
                                              {"X-Hop", "1"},
                                              {"Transfer-Encoding", "chunked"},
                                              {"Reserved", "1"},
                                              {"X-Kept", "1"}},
                                             {"reserved"});
    EXPECT_EQ(remaining, (std::vector<http_field>{{"X-Kept", "1"}}));
}

} // namespace
} // namespace chivedeal::forward
