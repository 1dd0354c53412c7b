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
#include "fakes/raw_endpoint.hpp"
#include "platform/json_wire_format.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

#include <atomic>
#include <memory>

namespace chivedeal::forward {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(30);

std::shared_ptr<const route_index> make_index()
{
    traffic_config config{.version = 1};
    config.routes = {{.name = "app",
                      .host = "h",
                      .path_prefix = "/app/",
                      .is_public = true,
                      .services = {{.service = service_id("s")}}}};
    config.services = {{.name = service_id("s"), .max_connections = 20}};
    return std::make_shared<const route_index>(std::move(config));
}

// Guards against cutting off requests that arrive between the end of a drain and the exit of the
// process: they were still read and sent to endpoints.
TEST(forwarder, reads_no_request_after_the_drain)
{
    const fakes::raw_endpoint endpoint([](const std::string& /*request*/) {
        return fakes::raw_response{.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    });
    const node_settings settings{.node = node_id("n1"),
                                 .front = fakes::free_address(),
                                 .peers = fakes::free_address(),
                                 .address_ttl = absl::Milliseconds(10),
                                 .shutdown_grace = absl::Seconds(2)};
    const header_names names;
    const platform::json_wire_format format;
    const system_clock time;
    metrics counters;
    event_queue queue(64);
    fakes::fake_node_event_listener control;
    peer_exchange peers(
        {.settings = settings, .time = time, .listeners = {}, .prompt_listener = queue});
    std::atomic<bool> drained = false;
    forwarder target({.settings = settings,
                      .names = names,
                      .format = format,
                      .time = time,
                      .counters = counters,
                      .queue = queue,
                      .control = control,
                      .peers = peers,
                      .on_drained = [&drained] { drained = true; }});
    queue.on_event({node_event::config_changed{make_index()}});
    queue.on_event({node_event::endpoint_changed{std::make_shared<const endpoint_record>(
        endpoint_record{.id = endpoint_id("e1"),
                        .service = service_id("s"),
                        .address = endpoint.listen_address(),
                        .slots = 4})}});
    queue.on_event({node_event::endpoints_loaded{}});
    posix_thread thread("forwarder", [&target] { target.run(); });
    const auto post = [&settings] {
        httplib::Client client(settings.front.host, settings.front.port);
        client.set_read_timeout(1);
        return client.Post("/app/x", {{"Host", "h"}, {"Chivedeal-Request-Id", "id-1"}}, "body",
                           "text/plain");
    };
    ASSERT_TRUE(fakes::eventually(max_wait, [&post] { return static_cast<bool>(post()); }));
    const int before = endpoint.request_count();
    queue.on_event({node_event::drain_requested{}});
    ASSERT_TRUE(fakes::eventually(max_wait, [&drained] { return drained.load(); }));
    EXPECT_FALSE(post());
    EXPECT_EQ(endpoint.request_count(), before);
    target.request_stop();
    thread.join();
}

} // namespace
} // namespace chivedeal::forward
