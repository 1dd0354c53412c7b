// Requests around the planned stop of a node.
#include "fakes/eventually.hpp"
#include "fakes/node_fixture.hpp"
#include "fakes/raw_caller.hpp"
#include "fakes/raw_endpoint.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <memory>
#include <string>

namespace chivedeal::forward {
namespace {

using fakes::raw_endpoint;
using fakes::raw_response;

constexpr absl::Duration max_wait = absl::Seconds(30);
// More than the kernel buffers for a caller that doesn't read.
constexpr std::size_t long_data_bytes = 4'000'000;
// Less than that.
constexpr std::size_t middling_data_bytes = 400'000;

raw_response one_event(std::size_t data_bytes)
{
    const std::string body = absl::StrCat("data: ", std::string(data_bytes, 'x'), "\n\n");
    return {.bytes =
                absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body)};
}

std::size_t count_data_bytes(const std::string& received)
{
    const std::size_t head_end = received.find("\r\n\r\n");
    if (head_end == std::string::npos)
        return 0;
    return static_cast<std::size_t>(
        std::count(received.begin() + static_cast<std::ptrdiff_t>(head_end), received.end(), 'x'));
}

/// A node and an endpoint that answers some requests and keeps others until it is closed. Those
/// that it keeps hold up the stop of the node until the end of its grace period.
class planned_stop_test : public fakes::node_fixture
{
protected:
    explicit planned_stop_test(absl::Duration grace = absl::Seconds(3),
                               absl::Duration timeout = absl::Seconds(5))
        : m_grace(grace), m_timeout(timeout)
    {}

    void SetUp() override
    {
        node_fixture::SetUp();
        m_settings.shutdown_grace = m_grace;
        publish_config(1, R"([{"name":"w","api_keys":["key"]}])",
                       static_cast<int>(absl::ToInt64Milliseconds(m_timeout)));
        publish_endpoint(m_endpoint.listen_address());
        start();
        ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    }

    void TearDown() override
    {
        m_caller.reset();
        node_fixture::TearDown();
    }

    /// Sends a request that the endpoint keeps. Its result is set when `m_caller` has ended.
    void post_in_background(const std::string& path)
    {
        const int before = m_endpoint.request_count();
        m_caller = std::make_unique<posix_thread>(
            "caller", [this, path] { m_background = post(path, "key", "", "kept"); });
        ASSERT_TRUE(
            fakes::eventually(max_wait, [&] { return m_endpoint.request_count() == before + 1; }));
    }

    void begin_stop()
    {
        m_node->request_drain();
        ASSERT_TRUE(fakes::eventually(max_wait, [this] { return !is_ready(); }));
    }

    raw_endpoint m_endpoint{[](const std::string& request) {
        if (absl::StrContains(request, "/long"))
            return one_event(long_data_bytes);
        if (absl::StrContains(request, "/middling"))
            return one_event(middling_data_bytes);
        if (absl::StrContains(request, "/keep"))
            return raw_response{.bytes = "", .then = raw_response::next::go_silent};
        if (absl::StrContains(request, "/begin"))
            return raw_response{.bytes = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n",
                                .then = raw_response::next::go_silent};
        return raw_response{.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    }};
    httplib::Result m_background{nullptr, httplib::Error::Unknown};
    std::unique_ptr<posix_thread> m_caller;

private:
    absl::Duration m_grace;
    absl::Duration m_timeout;
};

// Guards against closing connections without a response because a duty fails.
TEST_F(planned_stop_test, answers_requests_when_the_node_ends_at_once)
{
    post_in_background("/app/keep");
    m_node->request_stop();
    m_caller->join();
    ASSERT_TRUE(m_background);
    EXPECT_EQ(m_background->status, 502);
}

/// The grace period outlasts the responses, however slow the machine is.
class slow_caller_stop_test : public planned_stop_test
{
protected:
    slow_caller_stop_test() : planned_stop_test(absl::Minutes(1)) {}

    /// Sends a request whose response takes a caller on a slow link longer than the rest of the
    /// stop, and waits until the node has it.
    std::unique_ptr<fakes::raw_caller> begin_slow_call(const std::string& path,
                                                       const fakes::slow_link& link = {})
    {
        auto caller = std::make_unique<fakes::raw_caller>(m_settings.front, max_wait, link);
        const int before = m_endpoint.request_count();
        EXPECT_TRUE(caller->send(slow_request(path)));
        EXPECT_TRUE(
            fakes::eventually(max_wait, [&] { return m_endpoint.request_count() == before + 1; }));
        return caller;
    }

    static std::string slow_request(const std::string& path)
    {
        return absl::StrCat("POST ", path,
                            " HTTP/1.1\r\nHost: h\r\nChivedeal-Request-Id: slow\r\n"
                            "Chivedeal-Deadline-Ms: 30000\r\nAuthorization: Bearer key\r\n"
                            "Content-Length: 0\r\n\r\n");
    }

    /// Ends the process's part of the connections, as its exit does.
    void await_end_of_node()
    {
        m_thread->join();
        m_node.reset();
    }
};

// Guards against taking a request that can't end before the process does: it was passed on and then
// cut off, which for an unsafe request leaves open whether it ran.
TEST_F(planned_stop_test, refuses_requests_that_may_outlast_it)
{
    post_in_background("/app/keep");
    begin_stop();
    const auto refused = post("/app/keep", "key", "", "late");
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 503);
    EXPECT_TRUE(refused->has_header("Retry-After"));
    EXPECT_EQ(m_endpoint.request_count(), 1);
}

// Guards against refusing requests that are usually answered in the time that is left.
TEST_F(planned_stop_test, serves_short_requests_until_its_end)
{
    for (int i = 0; i < 20; ++i)
        ASSERT_TRUE(post("/app/x"));
    post_in_background("/stream/keep");
    begin_stop();
    absl::SleepFor(absl::Seconds(1));
    const auto answer = post("/app/x");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
}

// Guards against closing the connection of a request without an answer.
TEST_F(planned_stop_test, answers_requests_that_outlast_it)
{
    post_in_background("/app/keep");
    begin_stop();
    m_caller->join();
    ASSERT_TRUE(m_background);
    EXPECT_EQ(m_background->status, 502);
}

// Guards against a stream that looks complete because the node stopped.
TEST_F(planned_stop_test, ends_streams_that_outlast_it_incomplete)
{
    post_in_background("/stream/begin");
    begin_stop();
    m_caller->join();
    EXPECT_FALSE(m_background);
}

// Guards against ending the process while a finished response is still in its buffers.
TEST_F(slow_caller_stop_test, sends_the_rest_of_responses_to_slow_callers)
{
    const auto caller = begin_slow_call("/app/long");
    begin_stop();
    EXPECT_EQ(count_data_bytes(caller->receive_all()), long_data_bytes);
}

// Guards against ending the process while the last part of a stream is still in its buffers.
TEST_F(slow_caller_stop_test, sends_the_rest_of_streams_to_slow_callers)
{
    const auto caller =
        begin_slow_call("/stream/long", {.pause_between_reads = absl::Milliseconds(60)});
    begin_stop();
    EXPECT_EQ(count_data_bytes(caller->receive_all()), long_data_bytes);
}

// Guards against resetting a connection whose caller sends while it reads: the kernel then discards
// the part of the response that it has not delivered.
TEST_F(slow_caller_stop_test, delivers_responses_to_callers_that_go_on_sending)
{
    const auto caller = begin_slow_call(
        "/app/middling", {.bytes_per_read = 20'000, .pause_between_reads = absl::Milliseconds(50)});
    std::atomic<bool> stopping = false;
    posix_thread sender("sender", [&] {
        while (!stopping && caller->send(slow_request("/app/x")))
            absl::SleepFor(absl::Milliseconds(20));
    });
    begin_stop();
    posix_thread end("end", [this] { await_end_of_node(); });
    EXPECT_EQ(count_data_bytes(caller->receive_all()), middling_data_bytes);
    stopping = true;
}

/// Requests may last longer than the grace period, which is long even on a slow machine.
class late_stream_test : public planned_stop_test
{
protected:
    late_stream_test() : planned_stop_test(absl::Seconds(30), absl::Minutes(2)) {}

    std::string request(const std::string& path) const
    {
        return absl::StrCat("POST ", path,
                            " HTTP/1.1\r\nHost: h\r\nChivedeal-Request-Id: id-1\r\n"
                            "Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n");
    }
};

// Guards against trusting the usual length of a route's streams when its callers know other nodes:
// a stream that lasts longer is cut off.
TEST_F(late_stream_test, is_refused_when_callers_know_other_nodes)
{
    for (int i = 0; i < 20; ++i)
        ASSERT_TRUE(post("/stream/middling"));
    fakes::raw_caller kept(m_settings.front, max_wait);
    ASSERT_TRUE(kept.send(request("/app/keep")));
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return m_endpoint.request_count() == 21; }));
    begin_stop();
    absl::SleepFor(m_settings.address_ttl * 4);
    fakes::raw_caller late(m_settings.front, absl::Seconds(5));
    ASSERT_TRUE(late.send(request("/stream/begin")));
    EXPECT_EQ(late.receive_all().substr(0, 13), "HTTP/1.1 503 ");
    EXPECT_EQ(m_endpoint.request_count(), 21);
}

} // namespace
} // namespace chivedeal::forward
