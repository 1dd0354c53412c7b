#include "chivedeal/forward/endpoint_listener.hpp"
#include "chivedeal/forward/endpoint_side.hpp"
#include "chivedeal/forward/poller.hpp"
#include "fakes/eventually.hpp"
#include "fakes/raw_endpoint.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace chivedeal::forward {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(20);

/// Records what became of the attempts.
class attempt_recorder : public endpoint_listener
{
public:
    void on_request_sent(std::uint64_t /*exchange_id*/, absl::Time /*now*/) override { ++sent; }
    void on_request_written(std::uint64_t /*exchange_id*/, absl::Time /*now*/) override {}
    void on_response_head(std::uint64_t /*exchange_id*/, const http_response_head& /*head*/,
                          absl::Time /*now*/) override
    {}
    void on_response_body(std::uint64_t /*exchange_id*/, std::string_view /*bytes*/,
                          absl::Time /*now*/) override
    {}
    void on_response_end(std::uint64_t /*exchange_id*/, absl::Time /*now*/) override { ++ended; }
    void on_attempt_failed(std::uint64_t exchange_id, attempt_failure failure,
                           const char* /*reason*/, absl::Time /*now*/) override
    {
        EXPECT_EQ(failure, attempt_failure::not_sent);
        failed.push_back(exchange_id);
    }
    void on_probe_ended(const endpoint_id& /*endpoint*/, probe_result result,
                        absl::Time /*now*/) override
    {
        EXPECT_EQ(result, probe_result::unknown);
        ++probes_ended;
    }

    int sent = 0;
    int ended = 0;
    int probes_ended = 0;
    std::vector<std::uint64_t> failed;
};

// Guards against requests that waited for a connection when the evacuation began and were then
// written to the evacuated zone, and against breaking those that were under way there.
TEST(regions_endpoint_side, abandons_requests_that_have_not_been_written)
{
    const fakes::raw_endpoint endpoint([](const std::string& /*request*/) {
        return fakes::raw_response{.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    });
    poller events;
    attempt_recorder attempts;
    endpoint_side side(events, attempts, {.id_field = "Id"});
    const auto send = [&](std::uint64_t exchange, const char* id) {
        return side.send({.exchange_id = exchange,
                          .endpoint = endpoint_id(id),
                          .address = endpoint.listen_address(),
                          .bytes = "GET / HTTP/1.1\r\n\r\n",
                          .max_connections = 5},
                         absl::Now());
    };
    const auto poll_once = [&] {
        for (const poller::ready& event : events.wait(absl::Milliseconds(10)))
            side.on_ready(event.id, event.readable, event.writable, event.broken, absl::Now());
        side.sweep();
    };
    const auto abandon = [&] {
        side.abandon_unsent([](const endpoint_id& id) { return id == endpoint_id("e1"); },
                            absl::Now());
    };
    ASSERT_TRUE(send(1, "e1"));
    ASSERT_TRUE(fakes::eventually(max_wait, [&] {
        poll_once();
        return attempts.sent == 1;
    }));
    ASSERT_TRUE(send(2, "e1"));
    ASSERT_TRUE(send(3, "e2"));
    ASSERT_TRUE(side.probe(endpoint_id("e1"), endpoint.listen_address(), absl::Now()));
    abandon();
    EXPECT_EQ(attempts.failed, std::vector<std::uint64_t>{2});
    EXPECT_EQ(attempts.probes_ended, 1);
    EXPECT_TRUE(fakes::eventually(max_wait, [&] {
        poll_once();
        return attempts.ended == 2;
    }));
    EXPECT_EQ(attempts.sent, 2);
    EXPECT_EQ(endpoint.request_count(), 2);
    abandon();
    EXPECT_EQ(attempts.failed.size(), 1U);
}

} // namespace
} // namespace chivedeal::forward
