// Endpoints that close the connection inside the head of their response.
#include "chivedeal/forward/response_reader.hpp"
#include "fakes/eventually.hpp"
#include "fakes/node_fixture.hpp"
#include "fakes/raw_endpoint.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace chivedeal::forward {
namespace {

using fakes::raw_endpoint;
using fakes::raw_response;

constexpr absl::Duration max_wait = absl::Seconds(30);

struct cut_head
{
    const char* name;
    std::string bytes;
};

const std::vector<cut_head> cut_heads{
    {"before_its_first_byte", ""},
    {"inside_the_status_line", "HTTP/1.1 200 O"},
    {"after_the_status_line", "HTTP/1.1 200 OK\r\n"},
    {"inside_the_length", "HTTP/1.1 200 OK\r\nContent-Length: 1"},
    {"after_a_field", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"},
    {"before_its_last_byte", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r"},
    {"behind_an_interim_response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"},
};

class cut_head_test : public fakes::node_fixture, public ::testing::WithParamInterface<cut_head>
{
protected:
    void start_with_cut_head()
    {
        publish_config(1);
        publish_endpoint(m_endpoint.listen_address());
        start();
        ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    }

    raw_endpoint m_endpoint{[](const std::string& /*request*/) {
        return raw_response{.bytes = GetParam().bytes, .then = raw_response::next::close};
    }};
};

// Guards against a success with an empty or short body, framed as whole.
TEST_P(cut_head_test, fails_a_request)
{
    start_with_cut_head();
    const auto answer = post("/app/x");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 502);
}

// Guards against an empty stream that looks complete.
TEST_P(cut_head_test, fails_a_stream)
{
    start_with_cut_head();
    const auto answer = post("/stream/x");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 502);
}

INSTANTIATE_TEST_SUITE_P(endpoint_faults_test, cut_head_test, ::testing::ValuesIn(cut_heads),
                         [](const auto& instance) { return std::string(instance.param.name); });

// Guards against a byte of the head behind which the end of the connection completes the response.
TEST(response_reader, fails_when_the_connection_ends_inside_the_head)
{
    constexpr std::string_view head =
        "HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
    for (std::size_t size = 0; size < head.size(); ++size) {
        response_reader reader(false);
        std::string body;
        reader.feed(head.substr(0, size), body);
        reader.on_eof();
        EXPECT_TRUE(reader.failed()) << head.substr(0, size);
        EXPECT_FALSE(reader.complete()) << head.substr(0, size);
    }
}

} // namespace
} // namespace chivedeal::forward
