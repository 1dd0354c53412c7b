// Requests around the planned stop of a node.
#include "fakes/eventually.hpp"
#include "fakes/node_fixture.hpp"
#include "fakes/raw_endpoint.hpp"

#include "absl/strings/match.h"
#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace chivedeal::forward {
namespace {

using fakes::raw_endpoint;
using fakes::raw_response;

constexpr absl::Duration max_wait = absl::Seconds(30);

/// A node and an endpoint that answers some requests and keeps others until it is closed. Those
/// that it keeps hold up the stop of the node until the end of its grace period.
class planned_stop_test : public fakes::node_fixture
{
protected:
    void SetUp() override
    {
        node_fixture::SetUp();
        m_settings.shutdown_grace = absl::Seconds(3);
        publish_config(1);
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
        if (absl::StrContains(request, "/keep"))
            return raw_response{.bytes = "", .then = raw_response::next::go_silent};
        if (absl::StrContains(request, "/begin"))
            return raw_response{.bytes = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n",
                                .then = raw_response::next::go_silent};
        return raw_response{.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    }};
    httplib::Result m_background{nullptr, httplib::Error::Unknown};
    std::unique_ptr<posix_thread> m_caller;
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

} // namespace
} // namespace chivedeal::forward
