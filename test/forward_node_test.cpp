#include "chivedeal/core/posix_thread.hpp"
#include "fakes/eventually.hpp"
#include "fakes/free_address.hpp"
#include "fakes/node_fixture.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace chivedeal::forward {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(30);

/// An endpoint whose response depends on the path, and that counts the requests it ran.
class test_endpoint
{
public:
    test_endpoint() : m_address(fakes::free_address())
    {
        m_server.Post("/app/echo", [this](const httplib::Request& request, httplib::Response& out) {
            ++m_run_count;
            m_last_request = request;
            out.set_header("Chivedeal-Request-Id",
                           request.get_header_value("Chivedeal-Request-Id"));
            out.set_content(request.body, "text/plain");
        });
        m_server.Post("/app/full", [](const httplib::Request& /*request*/, httplib::Response& out) {
            out.status = 503;
            out.set_header("Chivedeal-Not-Run", "1");
        });
        m_server.Post("/app/late",
                      [this](const httplib::Request& /*request*/, httplib::Response& out) {
                          ++m_run_count;
                          out.set_header("Chivedeal-Request-Id", "of-another-request");
                          out.set_content("not yours", "text/plain");
                      });
        m_server.Post("/app/leaving",
                      [this](const httplib::Request& request, httplib::Response& out) {
                          ++m_run_count;
                          out.set_header("Chivedeal-Request-Id",
                                         request.get_header_value("Chivedeal-Request-Id"));
                          out.set_header("Chivedeal-Leaving", "1");
                          out.set_content("last", "text/plain");
                      });
        m_server.Post("/app/busy",
                      [this](const httplib::Request& /*request*/, httplib::Response& out) {
                          ++m_run_count;
                          out.status = 503;
                      });
        // Binds before the thread starts, so that `stop` can't run before the socket exists.
        m_server.bind_to_port(m_address.host, m_address.port);
        m_thread =
            std::make_unique<posix_thread>("endpoint", [this] { m_server.listen_after_bind(); });
        fakes::eventually(max_wait, [this] { return m_server.is_running(); });
    }

    ~test_endpoint()
    {
        m_server.stop();
        m_thread.reset();
    }

    const address& listen_address() const { return m_address; }
    int run_count() const { return m_run_count; }
    const httplib::Request& last_request() const { return m_last_request; }

private:
    address m_address;
    httplib::Server m_server;
    std::atomic<int> m_run_count = 0;
    httplib::Request m_last_request;
    std::unique_ptr<posix_thread> m_thread;
};

using forwarding_node_test = fakes::node_fixture;

// Guards against 404 responses for routes that the node hasn't loaded yet.
TEST_F(forwarding_node_test, answers_503_before_any_configuration)
{
    start();
    ASSERT_TRUE(
        fakes::eventually(max_wait, [this] { return static_cast<bool>(post("/app/echo")); }));
    const auto answer = post("/app/echo");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 503);
    EXPECT_TRUE(answer->has_header("Retry-After"));
    EXPECT_FALSE(is_ready());
}

TEST_F(forwarding_node_test, replaces_caller_credentials_when_forwarding)
{
    const test_endpoint endpoint;
    publish_config(1);
    publish_endpoint(endpoint.listen_address());
    start();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    const auto answer = post("/app/echo");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, "body");
    const httplib::Request& forwarded = endpoint.last_request();
    EXPECT_EQ(forwarded.get_header_value("Chivedeal-Request-Id"), "id-1");
    EXPECT_EQ(forwarded.get_header_value("Chivedeal-Endpoint"), "e1");
    // The node doesn't forward the caller's key and replaces the workspace that the caller claims.
    EXPECT_EQ(forwarded.get_header_value("Chivedeal-Workspace"), "w");
    EXPECT_FALSE(forwarded.has_header("Authorization"));
    EXPECT_LE(std::stoi(forwarded.get_header_value("Chivedeal-Deadline-Ms")), 4000);
}

TEST_F(forwarding_node_test, rejects_unknown_keys_and_paths)
{
    const test_endpoint endpoint;
    publish_config(1);
    publish_endpoint(endpoint.listen_address());
    start();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    EXPECT_EQ(post("/app/echo", "other")->status, 401);
    EXPECT_EQ(post("/elsewhere")->status, 404);
    EXPECT_EQ(endpoint.run_count(), 0);
}

// Guards against callers retrying a request that ran: 503 tells them that it didn't run, but an
// endpoint's 503 without the not-run header doesn't prove that.
TEST_F(forwarding_node_test, reports_not_run_only_when_the_endpoint_does)
{
    const test_endpoint endpoint;
    publish_config(1);
    publish_endpoint(endpoint.listen_address());
    start();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    EXPECT_EQ(post("/app/full")->status, 503);
    EXPECT_EQ(endpoint.run_count(), 0);
    EXPECT_EQ(post("/app/busy")->status, 502);
    EXPECT_EQ(endpoint.run_count(), 1);
}

// Guards against delivering a response with another request's ID to the caller, and against running
// the request a second time.
TEST_F(forwarding_node_test, rejects_a_response_to_another_request)
{
    const test_endpoint endpoint;
    publish_config(1);
    publish_endpoint(endpoint.listen_address());
    start();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    const auto answer = post("/app/late");
    ASSERT_TRUE(answer);
    EXPECT_GE(answer->status, 502);
    EXPECT_NE(answer->status, 503);
    EXPECT_EQ(answer->body.find("not yours"), std::string::npos);
    EXPECT_EQ(endpoint.run_count(), 1);
}

TEST_F(forwarding_node_test, sends_nothing_to_a_leaving_endpoint)
{
    const test_endpoint endpoint;
    publish_config(1);
    publish_endpoint(endpoint.listen_address());
    start();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    publish_endpoint(endpoint.listen_address(), "draining");
    EXPECT_TRUE(fakes::eventually(max_wait, [this] { return post("/app/echo")->status == 503; }));
    const int run_count_before = endpoint.run_count();
    EXPECT_EQ(post("/app/echo")->status, 503);
    EXPECT_EQ(endpoint.run_count(), run_count_before);
}

// Guards against requests to a leaving endpoint while the store can't be read, and so still lists
// it as ready.
TEST_F(forwarding_node_test, sends_nothing_to_an_endpoint_that_announced_its_leaving)
{
    const test_endpoint endpoint;
    publish_config(1);
    publish_endpoint(endpoint.listen_address());
    start();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    m_topics->set_down(true);
    const auto answer = post("/app/leaving");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, "last");
    EXPECT_EQ(post("/app/echo")->status, 503);
    EXPECT_EQ(endpoint.run_count(), 1);
}

// Guards against a rollback when a lagging replica of the store returns an older version.
TEST_F(forwarding_node_test, ignores_an_older_configuration)
{
    const test_endpoint endpoint;
    publish_config(5);
    publish_endpoint(endpoint.listen_address());
    start();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    m_topics->put(topic::configuration, "config",
                  R"({"version":4,"routes":[],"services":[],"tenants":[]})");
    absl::SleepFor(absl::Seconds(1));
    EXPECT_EQ(post("/app/echo")->status, 200);
}

TEST_F(forwarding_node_test, reports_each_window_of_usage_once)
{
    const test_endpoint endpoint;
    publish_config(1);
    publish_endpoint(endpoint.listen_address());
    start();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(post("/app/echo")->status, 200);
    ASSERT_TRUE(fakes::eventually(max_wait, [this] {
        const std::lock_guard<mutex> lock(m_calls->guard);
        std::int64_t total = 0;
        for (const auto& [report, fence] : m_calls->reports)
            for (const auto& [workspace, count] : report.counts)
                total += count;
        return total >= 5;
    }));
    const std::lock_guard<mutex> lock(m_calls->guard);
    std::set<std::int64_t> windows;
    for (const auto& [report, fence] : m_calls->reports)
        EXPECT_TRUE(windows.insert(report.window).second) << report.window;
}

TEST_F(forwarding_node_test, stops_after_a_drain_request)
{
    const test_endpoint endpoint;
    publish_config(1);
    publish_endpoint(endpoint.listen_address());
    start();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    m_node->request_drain();
    EXPECT_TRUE(fakes::eventually(max_wait, [this] { return !is_ready(); }));
    // `run` returns without a call of `request_stop`.
    m_thread->join();
}

TEST_F(forwarding_node_test, lists_its_address_and_serves_metrics)
{
    const test_endpoint endpoint;
    publish_config(1);
    publish_endpoint(endpoint.listen_address());
    start();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    httplib::Client directory(m_settings.directory->host, m_settings.directory->port);
    const auto addresses = directory.Get("/v1/resolve?region=r");
    ASSERT_TRUE(addresses);
    EXPECT_NE(addresses->body.find(to_string(m_settings.front)), std::string::npos);
    httplib::Client metrics(m_settings.metrics->host, m_settings.metrics->port);
    const auto page = metrics.Get("/metrics");
    ASSERT_TRUE(page);
    EXPECT_NE(page->body.find("chivedeal_requests_under_way"), std::string::npos);
}

} // namespace
} // namespace chivedeal::forward
