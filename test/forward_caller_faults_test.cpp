#include "fakes/eventually.hpp"
#include "fakes/node_fixture.hpp"
#include "fakes/raw_caller.hpp"
#include "fakes/raw_endpoint.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

namespace chivedeal::forward {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(30);
const std::string chunked_head = "POST /app/x HTTP/1.1\r\nHost: h\r\nChivedeal-Request-Id: id-1\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";

struct endless_request
{
    const char* name;
    std::string begin;
    std::string filler;
};

const std::vector<endless_request> endless_requests{
    {"header_line", "GET / HTTP/1.1\r\nHost: h\r\nField: ", "value"},
    {"chunk_size", chunked_head, "0"},
    {"chunk_extension", chunked_head + "5;a=", "value"},
    {"trailer", chunked_head + "0\r\n", "Field: value\r\n"},
};

class endless_request_test : public fakes::node_fixture,
                             public ::testing::WithParamInterface<endless_request>
{};

// Guards against a node that runs out of memory because a caller sends the framing of a request
// without end.
TEST_P(endless_request_test, is_refused)
{
    publish_config(1);
    start();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    std::string bytes = GetParam().begin;
    while (bytes.size() < 256 * 1024)
        bytes += GetParam().filler;
    fakes::raw_caller caller(m_settings.front, absl::Seconds(5));
    ASSERT_TRUE(caller.is_connected());
    ASSERT_TRUE(caller.send(bytes));
    EXPECT_EQ(caller.receive_all().substr(0, 13), "HTTP/1.1 431 ");
    EXPECT_TRUE(is_ready());
}

class head_request_test : public fakes::node_fixture
{};

// Guards against the end of a chunked body after the response to a HEAD request: the caller takes it
// for the begin of its next response.
TEST_F(head_request_test, gets_no_body_on_a_route_of_streams)
{
    const fakes::raw_endpoint endpoint([](const std::string& /*request*/) {
        return fakes::raw_response{.bytes = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                            "Transfer-Encoding: chunked\r\n\r\n"};
    });
    publish_config(1);
    publish_endpoint(endpoint.listen_address());
    start();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    fakes::raw_caller caller(m_settings.front, absl::Seconds(1));
    ASSERT_TRUE(caller.send("HEAD /stream/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n"
                            "Chivedeal-Request-Id: id-1\r\n\r\n"));
    const std::string received = caller.receive_all();
    ASSERT_TRUE(absl::StartsWith(received, "HTTP/1.1 200 "));
    EXPECT_EQ(received.find("\r\n\r\n") + 4, received.size()) << received;
}

/// Callers that take a time of the order of the idle timeout to read a response.
class slow_caller_test : public fakes::node_fixture
{
protected:
    void SetUp() override
    {
        node_fixture::SetUp();
        publish_config(
            1, absl::StrCat(R"([{"name":"w","api_keys":["key"]}],"limits":{"idle_timeout_ms":)",
                            absl::ToInt64Milliseconds(idle_timeout), "}")
                   .c_str());
        publish_endpoint(m_endpoint.listen_address());
        start();
        ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    }

    static std::string request(const std::string& path)
    {
        return absl::StrCat("POST ", path,
                            " HTTP/1.1\r\nHost: h\r\nChivedeal-Request-Id: id-1\r\n"
                            "Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n");
    }

    static constexpr absl::Duration idle_timeout = absl::Seconds(2);
    static constexpr std::size_t body_bytes = 4'000'000;
    fakes::raw_endpoint m_endpoint{[](const std::string& text) {
        const std::size_t bytes = absl::StrContains(text, "/long") ? body_bytes : 2;
        return fakes::raw_response{.bytes =
                                       absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", bytes,
                                                    "\r\n\r\n", std::string(bytes, 'x'))};
    }};
};

// Guards against taking a caller that still reads a response for idle.
TEST_F(slow_caller_test, gets_a_response_that_takes_longer_than_the_idle_timeout)
{
    fakes::raw_caller caller(m_settings.front, max_wait,
                             fakes::slow_link{.pause_between_reads = absl::Milliseconds(75)});
    ASSERT_TRUE(caller.send(request("/app/long")));
    EXPECT_EQ(caller.receive_body(body_bytes).size(), body_bytes);
}

// Guards against counting the idle timeout from before the caller has read the response: callers
// reuse connections.
TEST_F(slow_caller_test, is_idle_from_the_end_of_its_response)
{
    fakes::raw_caller caller(m_settings.front, max_wait, fakes::slow_link{});
    ASSERT_TRUE(caller.send(request("/app/long")));
    ASSERT_EQ(caller.receive_body(body_bytes).size(), body_bytes);
    absl::SleepFor(idle_timeout / 2);
    ASSERT_TRUE(caller.send(request("/app/short")));
    EXPECT_EQ(caller.receive_body(2), "xx");
}

INSTANTIATE_TEST_SUITE_P(caller_faults_test, endless_request_test,
                         ::testing::ValuesIn(endless_requests),
                         [](const auto& instance) { return std::string(instance.param.name); });

} // namespace
} // namespace chivedeal::forward
