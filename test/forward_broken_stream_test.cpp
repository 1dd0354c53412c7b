// Streams that break off, and endpoints that answer with something else when they should resume
// them.
#include "fakes/eventually.hpp"
#include "fakes/node_fixture.hpp"
#include "fakes/raw_endpoint.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::forward {
namespace {

using fakes::raw_endpoint;
using fakes::raw_response;

constexpr absl::Duration max_wait = absl::Seconds(30);
const std::string stream_head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
const std::string event_1 = "id: 1\ndata: a\n\n";
const std::string event_2 = "id: 2\ndata: b\n\n";

class broken_stream_test : public fakes::node_fixture
{
protected:
    /// All endpoints together give the responses in turn.
    void start_with(bool resumable, std::vector<raw_response> responses)
    {
        m_topics->put(
            topic::configuration, "config",
            absl::StrCat(
                R"({"version":1,"routes":[{"name":"stream","host":"h","path_prefix":"/stream/",)",
                R"("kind":"streaming","timeout_ms":5000,"goal_ms":200,"attempts":3,"resumable":)",
                resumable ? "true" : "false",
                R"(,"service":"s"}],"services":[{"name":"s","max_conns":20}],)",
                R"("tenants":[{"name":"w","api_keys":["key"]}]})"));
        m_responses = std::move(responses);
        for (const char* id : {"e1", "e2", "e3"}) {
            m_endpoints.push_back(std::make_unique<raw_endpoint>(
                [this](const std::string& /*request*/) { return m_responses.at(m_next++); }));
            publish_endpoint(m_endpoints.back()->listen_address(), "ready", id);
        }
        start();
        ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    }

    std::vector<raw_response> m_responses;
    std::atomic<std::size_t> m_next = 0;
    std::vector<std::unique_ptr<raw_endpoint>> m_endpoints;
};

struct failed_resumption
{
    const char* name;
    std::string response;
};

const std::vector<failed_resumption> failed_resumptions{
    {"error", "HTTP/1.1 500 Error\r\nContent-Length: 7\r\n\r\nerror\n\n"},
    {"error_with_events", "HTTP/1.1 500 Error\r\nContent-Type: text/event-stream\r\n"
                          "Content-Length: 15\r\n\r\nid: 2\ndata: x\n\n"},
    {"refusal", "HTTP/1.1 503 Full\r\nChivedeal-Not-Run: 1\r\nContent-Length: 6\r\n\r\nfull\n\n"},
    {"other_content_type",
     "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 7\r\n\r\nerror\n\n"},
    {"no_event", stream_head + "Content-Length: 0\r\n\r\n"},
    {"head_as_body", stream_head + "\r\nHTTP/1.1 500 Error\r\nContent-Length: 7\r\n\r\nerror\n\n"},
    {"head_behind_interim_response",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 Error\r\nContent-Length: 7\r\n\r\nerror\n\n"},
    {"text_without_head", "error\n\n"},
    {"head_cut_off", "HTTP/1.1 200 OK\r\nContent-Type: text/ev"},
    {"head_without_its_last_line", stream_head},
};

class failed_resumption_test : public broken_stream_test,
                               public ::testing::WithParamInterface<failed_resumption>
{};

// Guards against an error that appears inside the caller's stream, or that ends it as if it were
// complete.
TEST_P(failed_resumption_test, is_not_joined_with_the_stream)
{
    start_with(
        true,
        {{.bytes = stream_head + "\r\n" + event_1 + "id: 2\nda", .then = raw_response::next::close},
         {.bytes = GetParam().response, .then = raw_response::next::close},
         {.bytes = stream_head + "\r\n" + event_2, .then = raw_response::next::close}});
    const auto answer = post("/stream/x");
    EXPECT_EQ(m_next, 3);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, event_1 + event_2);
}

INSTANTIATE_TEST_SUITE_P(endpoint_faults_test, failed_resumption_test,
                         ::testing::ValuesIn(failed_resumptions),
                         [](const auto& instance) { return std::string(instance.param.name); });

// Guards against a stream that looks complete because its endpoint wrote an error to the same
// connection after it had broken off.
TEST_F(broken_stream_test, ends_incomplete_when_a_response_head_follows_an_event)
{
    start_with(false, {{.bytes = stream_head + "\r\n" + event_1 +
                                 "HTTP/1.1 500 Error\r\nContent-Length: 7\r\n\r\nerror\n\n",
                        .then = raw_response::next::close}});
    EXPECT_FALSE(post("/stream/x"));
}

// Guards against an error text that passes for the rest of a stream which can't be resumed.
TEST_F(broken_stream_test, ends_incomplete_when_it_may_not_be_resumed)
{
    start_with(
        false,
        {{.bytes = stream_head + "\r\n" + event_1 + "id: 2\nda", .then = raw_response::next::close},
         {.bytes = stream_head + "\r\n" + event_2, .then = raw_response::next::close}});
    EXPECT_FALSE(post("/stream/x"));
    EXPECT_EQ(m_next, 1);
}

// Guards against waiting until the deadline for an endpoint that hangs but sends a byte now and
// then.
TEST_F(broken_stream_test, moves_on_when_bytes_complete_no_event)
{
    start_with(true,
               {{.bytes = stream_head + "\r\n" + event_1 + "id: 2\ndata: ",
                 .then = raw_response::next::send_slowly,
                 .filler = "x"},
                {.bytes = stream_head + "\r\n" + event_2, .then = raw_response::next::close}});
    const auto answer = post("/stream/x");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, event_1 + event_2);
}

} // namespace
} // namespace chivedeal::forward
