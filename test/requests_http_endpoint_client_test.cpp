#include "chivedeal/requests/http_endpoint_client.hpp"

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/requests/attempt_event.hpp"
#include "chivedeal/requests/attempt_start.hpp"
#include "chivedeal/requests/flow_command.hpp"
#include "fakes/raw_endpoint.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

#include <set>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)

namespace {

attempt_start make_start(const address& target, state::service_kind kind)
{
    return {.request = request_id("r1"),
            .attempt = 1,
            .endpoint = endpoint_id("e1"),
            .target = target,
            .kind = kind,
            .version = {},
            .idempotency_key = {},
            .body = R"({"prompt": "oak"})",
            .tokens_so_far = {},
            .kv_handle = {}};
}

// An engine that sends a fixed list of server-sent events. The entry "block" waits for a cancel and
// "break" closes the connection. With an empty list it refuses to start.
class scripted_engine
{
public:
    explicit scripted_engine(std::vector<std::string> script) : m_script(std::move(script))
    {
        m_server.Post("/v1/generate", [this](const auto& request, auto& response) {
            m_remote_ports.insert(request.remote_port);
            if (m_script.empty()) {
                response.status = 503;
                response.set_content(R"({"not_started": true})", "application/json");
                return;
            }
            response.set_chunked_content_provider(
                "text/event-stream", [this](std::size_t, auto& sink) { return send_script(sink); });
        });
        m_server.Post("/v1/cancel", [this](const auto&, auto&) { m_blocked.close(); });
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread =
            std::make_unique<posix_thread>("engine", [this] { m_server.listen_after_bind(); });
    }

    ~scripted_engine()
    {
        m_blocked.close();
        m_server.stop();
    }

    attempt_start start() const
    {
        return make_start({.host = "127.0.0.1", .port = static_cast<std::uint16_t>(m_port)},
                          state::service_kind::engine);
    }

    std::size_t connections() const { return m_remote_ports.size(); }

private:
    bool send_script(httplib::DataSink& sink)
    {
        for (const std::string& entry : m_script) {
            if (entry == "block")
                (void)m_blocked.pop();
            else if (entry == "break" || !sink.write(entry.data(), entry.size()))
                return false;
        }
        sink.done();
        return true;
    }

    std::vector<std::string> m_script;
    bounded_ring<int> m_blocked{1};
    httplib::Server m_server;
    int m_port = 0;
    std::set<int> m_remote_ports;
    std::unique_ptr<posix_thread> m_thread;
};

std::vector<attempt_event> run(http_endpoint_client& client, const attempt_start& start)
{
    std::vector<attempt_event> events;
    client.run(start, [&](attempt_event event) {
        events.push_back(std::move(event));
        return true;
    });
    return events;
}

result_code failure_of(const std::vector<attempt_event>& events)
{
    const auto* failed =
        events.empty() ? nullptr : std::get_if<attempt_failed>(&events.back().body);
    return failed == nullptr ? result_code::ok : failed->reason.code;
}

const std::string token = "id: 0 1 r1\ndata: oak\n\n";
const std::string end_marker = "event: end\ndata: {}\n\n";

} // namespace

// Guards against delivering a token of another request to this request's caller.
TEST(http_endpoint_client, reports_token_of_another_request_as_attempt_zero)
{
    scripted_engine engine({"id: 0 1 r2\ndata: elm\n\n", token, end_marker});
    const system_clock clock;
    http_endpoint_client client(clock);
    const auto events = run(client, engine.start());
    ASSERT_EQ(events.size(), 3U);
    EXPECT_EQ(events[0].attempt, 0);
    EXPECT_EQ(events[1].attempt, 1);
    EXPECT_TRUE(std::holds_alternative<attempt_ended>(events[2].body));
}

// Guards against reporting "not started" for an attempt that may have run, and the reverse.
TEST(http_endpoint_client, distinguishes_refused_starts_from_broken_streams)
{
    scripted_engine refusing({});
    scripted_engine breaking({token, "break"});
    scripted_engine silent({token});
    const system_clock clock;
    http_endpoint_client client(clock);
    EXPECT_EQ(failure_of(run(client, refusing.start())), result_code::endpoint_not_started);
    EXPECT_EQ(failure_of(run(client, breaking.start())), result_code::endpoint_lost);
    EXPECT_EQ(failure_of(run(client, silent.start())), result_code::endpoint_lost);
}

// Guards against logging request content that is quoted in an endpoint's error text.
TEST(http_endpoint_client, omits_endpoint_error_text_from_reason)
{
    scripted_engine engine({token, "event: error\ndata: cannot continue 'oak bowl'\n\n"});
    const system_clock clock;
    http_endpoint_client client(clock);
    const auto events = run(client, engine.start());
    ASSERT_EQ(failure_of(events), result_code::endpoint_failed);
    EXPECT_EQ(std::get<attempt_failed>(events.back().body).reason.message.find("oak"),
              std::string::npos);
}

// Guards against a worker that stays blocked on a cancelled attempt.
TEST(http_endpoint_client, cancels_a_blocked_attempt)
{
    scripted_engine engine({token, "block"});
    const system_clock clock;
    http_endpoint_client client(clock);
    const attempt_start start = engine.start();
    bounded_ring<attempt_event> events(16);
    posix_thread runner("attempt", [&] {
        client.run(start, [&](attempt_event event) { return events.push(std::move(event)); });
        events.close();
    });
    ASSERT_TRUE(events.pop());
    client.cancel({.request = start.request, .attempt = start.attempt, .target = start.target});
    result_code last = result_code::ok;
    while (const auto event = events.pop())
        last = failure_of({*event});
    EXPECT_EQ(last, result_code::endpoint_lost);
}

// Guards against running an attempt that was cancelled while it waited for a worker.
TEST(http_endpoint_client, does_not_start_a_cancelled_attempt)
{
    scripted_engine engine({token, end_marker});
    const system_clock clock;
    http_endpoint_client client(clock);
    const attempt_start start = engine.start();
    client.cancel({.request = start.request, .attempt = start.attempt, .target = start.target});
    EXPECT_EQ(failure_of(run(client, start)), result_code::endpoint_not_started);
    EXPECT_EQ(engine.connections(), 0U);
}

// Guards against the latency of opening a connection for each attempt.
TEST(http_endpoint_client, reuses_connections)
{
    scripted_engine engine({token, end_marker});
    const system_clock clock;
    http_endpoint_client client(clock);
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(run(client, engine.start()).size(), 2U);
    EXPECT_EQ(engine.connections(), 1U);
}

// Guards against a success with an empty or short body after a response whose head was cut off.
TEST(http_endpoint_client, fails_an_attempt_whose_response_ends_inside_its_head_or_body)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::size_t size = 0;
    const fakes::raw_endpoint endpoint([&](const std::string& /*request*/) {
        return fakes::raw_response{.bytes = whole.substr(0, size),
                                   .then = fakes::raw_response::next::close};
    });
    const system_clock clock;
    http_endpoint_client client(clock);
    for (const auto kind : {state::service_kind::plain, state::service_kind::engine})
        for (size = 0; size < whole.size(); ++size)
            EXPECT_EQ(failure_of(run(client, make_start(endpoint.listen_address(), kind))),
                      result_code::endpoint_lost)
                << whole.substr(0, size);
}

namespace {

struct endless_attempt
{
    const char* name;
    state::service_kind kind;
    std::string begin;
    std::string filler;
};

const std::vector<endless_attempt> endless_attempts{
    {"head", state::service_kind::plain, "HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
    {"header_line", state::service_kind::plain, "HTTP/1.1 200 OK\r\nField: ", "value"},
    {"status_line", state::service_kind::plain, "HTTP/1.1 200 ", "OK"},
    {"body", state::service_kind::plain, "HTTP/1.1 200 OK\r\n\r\n", "value"},
    {"head_of_a_stream", state::service_kind::engine, "HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
    {"line_of_a_stream", state::service_kind::engine, "HTTP/1.1 200 OK\r\n\r\n", "value"},
    {"comments_of_a_stream", state::service_kind::engine, "HTTP/1.1 200 OK\r\n\r\n", ": a\n"},
};

class endless_attempt_test : public ::testing::TestWithParam<endless_attempt>
{};

} // namespace

// Guards against a node that runs out of memory because an endpoint sends bytes without end.
TEST_P(endless_attempt_test, fails)
{
    const fakes::raw_endpoint endpoint([](const std::string& /*request*/) {
        return fakes::raw_response{.bytes = GetParam().begin,
                                   .then = fakes::raw_response::next::send_forever,
                                   .filler = GetParam().filler};
    });
    const system_clock clock;
    http_endpoint_client client(clock);
    EXPECT_EQ(failure_of(run(client, make_start(endpoint.listen_address(), GetParam().kind))),
              result_code::endpoint_lost);
}

INSTANTIATE_TEST_SUITE_P(http_endpoint_client, endless_attempt_test,
                         ::testing::ValuesIn(endless_attempts),
                         [](const auto& instance) { return std::string(instance.param.name); });
