#include "chivedeal/core/metrics.hpp"
#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/forward/event_queue.hpp"
#include "chivedeal/forward/forwarder.hpp"
#include "chivedeal/forward/peer_exchange.hpp"
#include "chivedeal/forward/route_index.hpp"
#include "fakes/eventually.hpp"
#include "fakes/fake_node_event_listener.hpp"
#include "fakes/free_address.hpp"
#include "fakes/raw_caller.hpp"
#include "fakes/raw_endpoint.hpp"
#include "platform/json_wire_format.hpp"

#include "absl/time/time.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

namespace chivedeal::forward {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(30);
const service_id drafts("drafts");

// A forwarder with one endpoint of the version that is being rolled out.
class abandoned_request : public ::testing::Test
{
protected:
    void start(fakes::raw_response response)
    {
        m_endpoint = std::make_unique<fakes::raw_endpoint>(
            [response = std::move(response)](const std::string& /*request*/) { return response; });
        traffic_config config{.version = 1};
        config.routes = {{.name = "stream",
                          .host = "h",
                          .path_prefix = "/stream/",
                          .kind = route_kind::streaming,
                          .timeout = absl::Minutes(1),
                          .latency_objective = absl::Milliseconds(100),
                          .is_public = true,
                          .services = {{.service = drafts}}}};
        config.services = {{.name = drafts, .max_connections = 20}};
        m_queue.on_event(
            {node_event::config_changed{std::make_shared<const route_index>(std::move(config))}});
        m_queue.on_event({node_event::endpoint_changed{std::make_shared<const endpoint_record>(
            endpoint_record{.id = endpoint_id("e1"),
                            .service = drafts,
                            .address = m_endpoint->listen_address(),
                            .version = version_id("v2"),
                            .slots = 4})}});
        m_queue.on_event({node_event::endpoints_loaded{}});
        m_queue.on_event({node_event::rollout_ordered{
            {.service = drafts, .target = version_id("v2"), .duration = absl::Minutes(1)}}});
        m_thread = std::make_unique<posix_thread>("forwarder", [this] { m_target.run(); });
    }

    void TearDown() override
    {
        m_target.request_stop();
        m_thread.reset();
    }

    // Sends a request and closes the connection after a time.
    void send_and_leave_after(absl::Duration patience)
    {
        ASSERT_TRUE(fakes::eventually(max_wait, [&] {
            fakes::raw_caller caller(m_settings.front, patience);
            const int before = m_endpoint->request_count();
            (void)caller.send("GET /stream/x HTTP/1.1\r\nHost: h\r\nChivedeal-Request-Id: id-1\r\n"
                              "\r\n");
            (void)caller.receive_all();
            return m_endpoint->request_count() > before;
        }));
    }

    version_outcomes outcomes() const
    {
        const auto newest = m_control.newest<node_event::local_counters_updated>();
        return newest && !newest->state->outcomes.empty() ? newest->state->outcomes.front()
                                                          : version_outcomes{};
    }

    node_settings m_settings{
        .node = node_id("n1"), .front = fakes::free_address(), .peers = fakes::free_address()};
    header_names m_names;
    platform::json_wire_format m_format;
    system_clock m_time;
    metrics m_counters;
    event_queue m_queue{64};
    fakes::fake_node_event_listener m_control;
    peer_exchange m_peers{
        {.settings = m_settings, .time = m_time, .listeners = {}, .prompt_listener = m_queue}};
    forwarder m_target{{.settings = m_settings,
                        .names = m_names,
                        .format = m_format,
                        .time = m_time,
                        .counters = m_counters,
                        .queue = m_queue,
                        .control = m_control,
                        .peers = m_peers,
                        .on_drained = [] {}}};
    std::unique_ptr<fakes::raw_endpoint> m_endpoint;
    std::unique_ptr<posix_thread> m_thread;
};

// Guards against review/11: callers leave streams that get no answer long before the route's timeout,
// and the version that hangs seems to have good responses only.
TEST_F(abandoned_request, counts_as_bad_after_a_long_wait)
{
    start({.then = fakes::raw_response::next::go_silent});
    send_and_leave_after(absl::Milliseconds(600));
    EXPECT_TRUE(fakes::eventually(max_wait, [this] { return outcomes().target_bad > 0; }));
}

// The same inside a stream.
TEST_F(abandoned_request, counts_as_bad_after_a_long_gap)
{
    start({.bytes = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n6\r\nid: 1\n\r\n",
           .then = fakes::raw_response::next::go_silent});
    send_and_leave_after(absl::Milliseconds(600));
    EXPECT_TRUE(fakes::eventually(max_wait, [this] { return outcomes().target_bad > 0; }));
}

// Guards against a sound version that is blamed for callers who leave for reasons of their own.
TEST_F(abandoned_request, does_not_count_after_a_short_wait)
{
    start({.then = fakes::raw_response::next::go_silent});
    send_and_leave_after(absl::Milliseconds(20));
    send_and_leave_after(absl::Milliseconds(600));
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return outcomes().target_bad > 0; }));
    EXPECT_EQ(outcomes().target_bad, 1);
}

} // namespace
} // namespace chivedeal::forward
