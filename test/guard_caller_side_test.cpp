#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/forward/caller_listener.hpp"
#include "chivedeal/forward/caller_side.hpp"
#include "chivedeal/forward/poller.hpp"
#include "chivedeal/forward/rejection.hpp"
#include "chivedeal/forward/sockets.hpp"
#include "fakes/eventually.hpp"
#include "fakes/free_address.hpp"
#include "fakes/node_fixture.hpp"
#include "fakes/raw_caller.hpp"
#include "fakes/raw_endpoint.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::forward {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(30);

constexpr guard::connection_limits small_limits{.buffer_bytes = 64 * 1024,
                                                .max_callers = 10,
                                                .receive_buffer_bytes = 64 * 1024,
                                                .send_buffer_bytes = 64 * 1024};

std::string make_request(const std::string& path)
{
    return absl::StrCat("GET ", path, " HTTP/1.1\r\nHost: h\r\n\r\n");
}

/// Responds at once to all requests but those to `/hold`.
class immediate_handler : public caller_listener
{
public:
    void on_request(std::uint64_t connection_id, int, http_request request, absl::Time,
                    absl::Time now) override
    {
        m_nested = m_nested || m_in_response;
        m_paths.push_back(request.target);
        m_connection_ids.push_back(connection_id);
        if (request.target != "/hold")
            respond(connection_id, "", now);
    }
    void on_caller_disconnected(std::uint64_t, absl::Time) override { ++m_disconnected; }
    void on_caller_writable(std::uint64_t) override {}
    void on_release_requested(std::uint64_t connection_id, absl::Time) override
    {
        m_released_ids.push_back(connection_id);
        m_side->charge_request(connection_id, 0, 0);
    }
    rejection make_rejection(int) const override { return {}; }
    void on_shed(std::uint64_t connection_id, absl::Time now) override
    {
        if (m_answers_shed_requests)
            m_side->respond(connection_id, {.status = 502, .fields = {}}, "", now);
    }

    void respond(std::uint64_t connection_id, const std::string& body, absl::Time now)
    {
        const bool outer = std::exchange(m_in_response, true);
        m_side->respond(connection_id, {.status = 200, .fields = {}}, body, now);
        m_in_response = outer;
    }

    caller_side* m_side = nullptr;
    bool m_in_response = false;
    bool m_nested = false;
    int m_disconnected = 0;
    bool m_answers_shed_requests = false;
    std::vector<std::uint64_t> m_released_ids;
    std::vector<std::string> m_paths;
    std::vector<std::uint64_t> m_connection_ids;
};

class guard_caller_side_test : public ::testing::Test
{
protected:
    ~guard_caller_side_test() override { close(m_listener); }

    void open(const guard::connection_limits& limits)
    {
        m_side = std::make_unique<caller_side>(m_poller, m_handler, limits);
        m_handler.m_side = m_side.get();
        const auto listener = listen_tcp(m_address);
        ASSERT_TRUE(is_ok(listener));
        m_listener = get_value(listener);
        set_buffer_sizes(m_listener, limits.receive_buffer_bytes, limits.send_buffer_bytes);
    }

    std::unique_ptr<fakes::raw_caller> connect()
    {
        auto caller = std::make_unique<fakes::raw_caller>(m_address, max_wait);
        EXPECT_TRUE(caller->is_connected());
        m_side->accept_all(m_listener, 0, absl::Now());
        return caller;
    }

    /// Handles what is ready, as the loop of the forwarder does.
    void step()
    {
        const absl::Time now = absl::Now();
        for (const poller::ready& event : m_poller.wait(absl::Milliseconds(5))) {
            m_side->on_ready(event.id, event.readable, event.writable, event.broken, now);
            m_side->enforce_budget(now);
        }
        m_side->resume(now);
        m_side->tick(now);
        m_side->sweep();
    }

    bool step_until(const std::function<bool()>& holds)
    {
        return fakes::eventually(max_wait, [&] {
            step();
            return holds();
        });
    }

    const address m_address = fakes::free_address();
    int m_listener = -1;
    poller m_poller;
    immediate_handler m_handler;
    std::unique_ptr<caller_side> m_side;
};

// Guards against a stack overflow when many pipelined requests wait behind one and are then answered
// at once, for example because their key was revoked.
TEST_F(guard_caller_side_test, processes_no_request_inside_the_response_before)
{
    constexpr std::size_t waiting = 700;
    open(guard::divide_instance({}));
    const auto caller = connect();
    std::string requests = make_request("/hold");
    for (std::size_t i = 0; i < waiting; ++i)
        requests += make_request(absl::StrCat("/", i));
    ASSERT_TRUE(caller->send(requests));
    ASSERT_TRUE(step_until([this] { return m_handler.m_paths.size() == 1; }));
    m_handler.respond(m_handler.m_connection_ids.front(), "", absl::Now());
    ASSERT_TRUE(step_until([this] { return m_handler.m_paths.size() == 1 + waiting; }));
    EXPECT_FALSE(m_handler.m_nested);
    for (std::size_t i = 0; i < waiting; ++i)
        EXPECT_EQ(m_handler.m_paths[i + 1], absl::StrCat("/", i));
}

// Guards against a caller that pipelines many requests with quick responses and so keeps the others
// waiting.
TEST_F(guard_caller_side_test, serves_connections_in_turn)
{
    constexpr int pipelined = 600;
    open(guard::divide_instance({}));
    const auto flooding = connect();
    const auto ordinary = connect();
    std::string requests;
    for (int i = 0; i < pipelined; ++i)
        requests += make_request("/f");
    ASSERT_TRUE(flooding->send(requests));
    ASSERT_TRUE(ordinary->send(make_request("/ordinary")));
    ASSERT_TRUE(step_until([this] { return m_handler.m_paths.size() == pipelined + 1; }));
    const auto position =
        std::find(m_handler.m_paths.begin(), m_handler.m_paths.end(), "/ordinary");
    EXPECT_LT(position - m_handler.m_paths.begin(), 50);
}

// Guards against responses that pile up because a caller pipelines requests and doesn't read, and
// against a caller that reads late and gets no further response.
TEST_F(guard_caller_side_test, waits_until_the_response_before_is_written)
{
    constexpr std::size_t body_bytes = 8'000'000;
    open(guard::divide_instance({}));
    const auto caller = connect();
    ASSERT_TRUE(caller->send(make_request("/hold") + make_request("/next")));
    ASSERT_TRUE(step_until([this] { return m_handler.m_paths.size() == 1; }));
    m_handler.respond(m_handler.m_connection_ids.front(), std::string(body_bytes, 'x'),
                      absl::Now());
    for (int i = 0; i < 20; ++i)
        step();
    EXPECT_EQ(m_handler.m_paths.size(), 1U);
    posix_thread reader("reader", [&caller] { (void)caller->receive_body(body_bytes); });
    EXPECT_TRUE(step_until([this] { return m_handler.m_paths.size() == 2; }));
}

// Guards against a caller with a large part of a body that takes the memory from the others.
TEST_F(guard_caller_side_test, rejects_the_caller_that_holds_most)
{
    open(small_limits);
    const auto small = connect();
    ASSERT_TRUE(small->send(make_request("/hold")));
    const auto large = connect();
    ASSERT_TRUE(large->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" +
                            std::string(100'000, 'x')));
    ASSERT_TRUE(step_until([this] { return m_side->shed().for_memory == 1; }));
    ASSERT_TRUE(step_until([this] { return m_side->size() == 1; })) << "the linger timeout";
    EXPECT_TRUE(absl::StartsWith(large->receive_all(), "HTTP/1.1 503 "));
    EXPECT_EQ(m_handler.m_paths, std::vector<std::string>{"/hold"});
    EXPECT_EQ(m_handler.m_disconnected, 0);
    EXPECT_LE(m_side->buffered_bytes(), 64U * 1024U);
}

// Guards against a request in progress whose exchange stays behind when its connection is closed for
// the memory that it holds.
TEST_F(guard_caller_side_test, closes_a_connection_whose_response_holds_most)
{
    open(small_limits);
    const auto caller = connect();
    ASSERT_TRUE(caller->send(make_request("/hold")));
    ASSERT_TRUE(step_until([this] { return m_handler.m_paths.size() == 1; }));
    m_side->charge_response(m_handler.m_connection_ids.front(), 100'000);
    m_side->enforce_budget(absl::Now());
    m_side->sweep();
    EXPECT_EQ(m_handler.m_disconnected, 1);
    EXPECT_EQ(m_side->size(), 0U);
    EXPECT_EQ(m_side->buffered_bytes(), 0U);
    EXPECT_EQ(caller->receive_all(), "");
}

// Guards against a connection that is closed, or a caller that is refused, while requests in
// progress keep memory for a retry only.
TEST_F(guard_caller_side_test, gives_up_retries_first)
{
    open(small_limits);
    const auto running = connect();
    ASSERT_TRUE(running->send(make_request("/hold")));
    ASSERT_TRUE(step_until([this] { return m_handler.m_paths.size() == 1; }));
    m_side->charge_request(m_handler.m_connection_ids.front(), 50'000, 50'000);
    const auto uploading = connect();
    ASSERT_TRUE(uploading->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n" +
                                std::string(29'999, 'x')));
    ASSERT_TRUE(step_until([this] { return m_side->shed().retries == 1; }));
    EXPECT_EQ(m_handler.m_released_ids, std::vector{m_handler.m_connection_ids.front()});
    ASSERT_TRUE(uploading->send("x"));
    ASSERT_TRUE(step_until([this] { return m_handler.m_paths.size() == 2; }));
    EXPECT_EQ(m_side->shed().for_memory, 0U);
    EXPECT_EQ(m_side->size(), 2U);
}

// Guards against a request that runs at an endpoint and is broken off although one that has not run
// could be refused instead.
TEST_F(guard_caller_side_test, refuses_requests_that_have_not_run_before_others)
{
    open(small_limits);
    const auto running = connect();
    ASSERT_TRUE(running->send(make_request("/hold")));
    ASSERT_TRUE(step_until([this] { return m_handler.m_paths.size() == 1; }));
    m_side->charge_request(m_handler.m_connection_ids.front(), 45'000, 0);
    const auto uploading = connect();
    ASSERT_TRUE(uploading->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n" +
                                std::string(20'000, 'x')));
    ASSERT_TRUE(step_until([this] { return m_side->shed().for_memory == 1; }));
    EXPECT_TRUE(absl::StartsWith(uploading->receive_all(), "HTTP/1.1 503 "));
    EXPECT_EQ(m_handler.m_disconnected, 0);
}

// Guards against a connection that is closed without a response where an error response would free
// the same memory.
TEST_F(guard_caller_side_test, answers_a_request_that_is_ended_for_its_memory)
{
    open(small_limits);
    m_handler.m_answers_shed_requests = true;
    const auto caller = connect();
    ASSERT_TRUE(caller->send(make_request("/hold")));
    ASSERT_TRUE(step_until([this] { return m_handler.m_paths.size() == 1; }));
    m_side->charge_request(m_handler.m_connection_ids.front(), 100'000, 0);
    m_side->enforce_budget(absl::Now());
    EXPECT_EQ(m_side->size(), 1U);
    EXPECT_EQ(m_handler.m_disconnected, 0);
    m_side.reset();
    EXPECT_TRUE(absl::StartsWith(caller->receive_all(), "HTTP/1.1 502 "));
}

// Guards against callers that only connect and so keep out those with requests.
TEST_F(guard_caller_side_test, makes_room_for_new_connections)
{
    open({.buffer_bytes = 1024 * 1024,
          .max_callers = 2,
          .receive_buffer_bytes = 64 * 1024,
          .send_buffer_bytes = 64 * 1024});
    const auto serving = connect();
    ASSERT_TRUE(serving->send(make_request("/hold")));
    ASSERT_TRUE(step_until([this] { return m_handler.m_paths.size() == 1; }));
    const auto silent = connect();
    const auto latest = connect();
    EXPECT_EQ(silent->receive_all(), "");
    ASSERT_TRUE(latest->send(make_request("/hold")));
    ASSERT_TRUE(step_until([this] { return m_handler.m_paths.size() == 2; }));
    // Both connections serve a request.
    EXPECT_EQ(connect()->receive_all(), "");
    EXPECT_EQ(m_side->shed().for_connections, 2U);
    EXPECT_EQ(m_handler.m_disconnected, 0);
}

class small_instance_test : public fakes::node_fixture
{};

// Guards against a budget that a single request inside the limits exceeds on the smallest instance.
TEST_F(small_instance_test, serves_a_request_of_the_largest_size)
{
    constexpr std::size_t body_bytes = 4 * 1024 * 1024;
    fakes::raw_endpoint endpoint{[](const std::string& request) {
        const std::string body(request.size() < body_bytes ? 2 : body_bytes, 'x');
        return fakes::raw_response{.bytes = absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ",
                                                         body.size(), "\r\n\r\n", body)};
    }};
    m_settings.instance = {.memory_bytes = std::size_t{120} * 1024 * 1024, .max_descriptors = 3075};
    publish_config(1, R"([{"name":"w","api_keys":["key"]}])", 30000);
    publish_endpoint(endpoint.listen_address());
    start();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    fakes::raw_caller caller(m_settings.front, max_wait);
    ASSERT_TRUE(caller.send(absl::StrCat("POST /app/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                                         "key\r\nChivedeal-Request-Id: id-1\r\nPadding: ",
                                         std::string(15'000, 'p'), "\r\nContent-Length: ",
                                         body_bytes, "\r\n\r\n", std::string(body_bytes, 'b'))));
    EXPECT_EQ(caller.receive_body(body_bytes).size(), body_bytes);
}

} // namespace
} // namespace chivedeal::forward
