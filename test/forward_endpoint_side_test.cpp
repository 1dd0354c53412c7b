#include "chivedeal/forward/attempt_failure.hpp"
#include "chivedeal/forward/endpoint_listener.hpp"
#include "chivedeal/forward/endpoint_request.hpp"
#include "chivedeal/forward/endpoint_side.hpp"
#include "chivedeal/forward/http_response_head.hpp"
#include "chivedeal/forward/poller.hpp"
#include "chivedeal/forward/probe_result.hpp"
#include "chivedeal/forward/sockets.hpp"
#include "fakes/free_address.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <string_view>
#include <vector>

namespace chivedeal::forward {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(30);

// An endpoint that accepts one connection and resets it.
class resetting_endpoint
{
public:
    resetting_endpoint() : m_listener(get_value(listen_tcp(m_address))) {}
    ~resetting_endpoint()
    {
        ::close(m_connection);
        ::close(m_listener);
    }
    resetting_endpoint(const resetting_endpoint&) = delete;
    resetting_endpoint& operator=(const resetting_endpoint&) = delete;

    const address& listen_address() const { return m_address; }

    void accept()
    {
        pollfd pending{.fd = m_listener, .events = POLLIN, .revents = 0};
        ASSERT_EQ(::poll(&pending, 1, 10000), 1);
        m_connection = ::accept(m_listener, nullptr, nullptr);
        ASSERT_GE(m_connection, 0);
    }

    void reset()
    {
        const linger at_once{.l_onoff = 1, .l_linger = 0};
        setsockopt(m_connection, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        ::close(m_connection);
        m_connection = -1;
    }

private:
    address m_address = fakes::free_address();
    int m_listener;
    int m_connection = -1;
};

// Sends a request to the next endpoint whenever an attempt fails, and measures how deep such calls
// are nested.
class retrying_listener : public endpoint_listener
{
public:
    void on_request_sent(std::uint64_t /*exchange_id*/, absl::Time /*now*/) override {}
    void on_request_written(std::uint64_t /*exchange_id*/, absl::Time /*now*/) override {}
    void on_response_head(std::uint64_t /*exchange_id*/, const http_response_head& /*head*/,
                          absl::Time /*now*/) override
    {}
    void on_response_body(std::uint64_t /*exchange_id*/, std::string_view /*bytes*/,
                          absl::Time /*now*/) override
    {}
    void on_response_end(std::uint64_t /*exchange_id*/, absl::Time /*now*/) override {}
    void on_attempt_failed(std::uint64_t /*exchange_id*/, attempt_failure failure,
                           const char* /*reason*/, absl::Time now) override
    {
        EXPECT_EQ(failure, attempt_failure::not_sent);
        ++failures;
        send_next(now);
    }
    void on_probe_ended(const endpoint_id& /*endpoint*/, probe_result result,
                        absl::Time /*now*/) override
    {
        connected += result == probe_result::connected ? 1 : 0;
    }

    void send_next(absl::Time now)
    {
        if (next == endpoints.size())
            return;
        const std::size_t number = next++;
        max_depth = std::max(max_depth, ++m_depth);
        EXPECT_TRUE(side->send({.exchange_id = 1,
                                .endpoint = endpoint_id(absl::StrCat("e", number)),
                                .address = endpoints[number]->listen_address(),
                                .bytes = "GET / HTTP/1.1\r\n\r\n"},
                               now));
        --m_depth;
    }

    endpoint_side* side = nullptr;
    std::vector<std::unique_ptr<resetting_endpoint>> endpoints;
    std::size_t next = 0;
    int failures = 0;
    int connected = 0;
    int max_depth = 0;

private:
    int m_depth = 0;
};

// Guards against a stack overflow: each attempt that failed on a connection which its endpoint had
// reset was followed by the next one inside the call of the one before. 26 endpoints ended a process.
TEST(endpoint_side, reports_no_failure_from_within_a_send)
{
    poller events;
    retrying_listener listener;
    endpoint_side side(events, listener, {.idle_timeout = absl::Minutes(1)});
    listener.side = &side;
    const auto turn_until = [&](const auto& condition) {
        const absl::Time deadline = absl::Now() + max_wait;
        while (!condition() && absl::Now() < deadline) {
            for (const poller::ready& event : events.wait(absl::Milliseconds(10)))
                side.on_ready(event.id, event.readable, event.writable, event.broken, absl::Now());
            side.sweep();
        }
        return condition();
    };
    for (int i = 0; i < 40; ++i) {
        listener.endpoints.push_back(std::make_unique<resetting_endpoint>());
        ASSERT_TRUE(side.probe(endpoint_id(absl::StrCat("e", i)),
                               listener.endpoints.back()->listen_address(), absl::Now()));
        listener.endpoints.back()->accept();
    }
    ASSERT_TRUE(turn_until([&] { return listener.connected == 40; }));
    for (const auto& endpoint : listener.endpoints)
        endpoint->reset();
    listener.send_next(absl::Now());
    EXPECT_TRUE(turn_until([&] { return listener.failures == 40; })) << listener.failures;
    EXPECT_EQ(listener.max_depth, 1);
}

} // namespace
} // namespace chivedeal::forward
