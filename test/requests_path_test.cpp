#include "chivedeal/core/supervisor.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/requests/caller_server.hpp"
#include "chivedeal/requests/endpoint_worker.hpp"
#include "chivedeal/requests/least_outstanding_policy.hpp"
#include "chivedeal/requests/router.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include "chivedeal/core/posix_thread.hpp"

#include "fakes/fake_endpoint_client.hpp"
#include "fakes/free_address.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)

namespace {

std::shared_ptr<const state::cluster_state> make_cluster_state()
{
    state::cluster_state state;
    state.workspaces[workspace_id("w1")] =
        std::make_shared<const state::workspace>(state::workspace{.name = workspace_id("w1")});
    state.services[service_id("catalogue")] =
        std::make_shared<const state::service>(state::service{.name = service_id("catalogue")});
    return std::make_shared<const state::cluster_state>(state);
}

std::shared_ptr<const membership::membership_view> make_membership_view()
{
    return std::make_shared<const membership::membership_view>(
        membership::membership_view{.self = node_id("n1"),
                                    .nodes = {{.id = node_id("n1")}},
                                    .endpoints = {{.id = endpoint_id("e1"),
                                                   .listen = {.host = "127.0.0.1", .port = 1},
                                                   .service = service_id("catalogue")}}});
}

// The supervised request duties with a fake endpoint client, listening on a free port.
class request_path
{
public:
    static constexpr std::size_t max_body_bytes = 64 * 1024;

    explicit request_path(std::vector<attempt_event_body> answer)
        : m_client(std::move(answer)),
          m_root(
              {.name = "requests"},
              {{.name = "router",
                .make =
                    [this] {
                        auto policy = std::make_shared<least_outstanding_policy>();
                        return std::make_unique<router>(
                            router::options{.time = m_clock,
                                            .policy = policy,
                                            .flow = {.policy = *policy, .node = node_id("n1")},
                                            .inbox = m_inbox,
                                            .attempts = m_attempts,
                                            .endpoint_commands = m_orders});
                    }},
               {.name = "endpoint_worker",
                .make =
                    [this] {
                        return std::make_unique<endpoint_worker>(endpoint_worker::options{
                            .client = m_client, .attempts = m_attempts, .router_inbox = m_inbox});
                    }},
               {.name = "caller_server",
                .make =
                    [this] {
                        return std::make_unique<caller_server>(
                            caller_server::options{.listen = m_listen,
                                                   .time = m_clock,
                                                   .router_inbox = m_inbox,
                                                   .route_jobs = m_jobs,
                                                   .max_request_bytes = max_body_bytes});
                    }}}),
          m_thread("requests", [this] { m_root.run(); })
    {
        (void)m_inbox.push({.event = state_changed{make_cluster_state()}, .reply = nullptr});
        (void)m_inbox.push({.event = view_changed{make_membership_view()}, .reply = nullptr});
    }

    ~request_path() { m_root.request_stop(); }

    httplib::Result post(const std::string& service, httplib::Headers headers = {},
                         const std::string& body = R"({"prompt": "oak bowl"})")
    {
        headers.emplace("Chivedeal-Workspace", "w1");
        httplib::Client client(m_listen.host, m_listen.port);
        while (true) {
            httplib::Result answer = client.Post("/v1/services/" + service + "/requests", headers,
                                                 body, "application/json");
            // The server starts in its own thread; retry while it does not accept connections yet.
            if (answer || answer.error() != httplib::Error::Connection)
                return answer;
        }
    }

private:
    address m_listen = fakes::free_address();
    system_clock m_clock;
    fakes::fake_endpoint_client m_client;
    bounded_ring<router_message> m_inbox{64};
    bounded_ring<route_job> m_jobs{64};
    bounded_ring<attempt_start> m_attempts{64};
    bounded_ring<endpoint_command> m_orders{64};
    supervisor m_root;
    posix_thread m_thread;
};

} // namespace

// Guards against a fault anywhere on the path from the caller's connection to the endpoint.
TEST(request_path, streams_complete_answer)
{
    request_path path({attempt_started{.prompt_tokens = 2, .cached_tokens = 0},
                       attempt_token{.position = 0, .text = "turned"},
                       attempt_token{.position = 1, .text = "bowl"}, attempt_ended{}});
    const httplib::Result answer = path.post("catalogue");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, "id: 0\ndata: turned\n\nid: 1\ndata: bowl\n\n"
                            "event: end\ndata: {\"outcome\":\"answered\"}\n\n");
}

// Guards against an unspecific refusal: the response must have the result code and say that the
// request did not run.
TEST(request_path, rejects_unknown_service)
{
    request_path path({});
    const httplib::Result answer = path.post("nothing");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 404);
    EXPECT_NE(answer->body.find("503 unknown_service"), std::string::npos);
    EXPECT_NE(answer->body.find("not_run"), std::string::npos);
}

// Guards against a token with a line break that forges a second event or is truncated.
TEST(request_path, preserves_line_breaks_in_tokens)
{
    request_path path({attempt_started{}, attempt_token{.position = 0, .text = "a\r\nid: 7\rb"},
                       attempt_ended{}});
    const httplib::Result answer = path.post("catalogue");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, "id: 0\ndata: a\ndata: id: 7\ndata: b\n\n"
                            "event: end\ndata: {\"outcome\":\"answered\"}\n\n");
}

// Guards against malformed or oversized requests that reach the router or get no result code.
TEST(request_path, rejects_malformed_requests_with_result_code)
{
    request_path path({});
    const auto expect_refused = [&](const httplib::Headers& headers, const std::string& body,
                                    int status, const std::string& text) {
        const httplib::Result answer = path.post("catalogue", headers, body);
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, status) << text;
        EXPECT_NE(answer->body.find(text), std::string::npos) << answer->body;
    };
    expect_refused({}, "[1]", 400, "501 invalid_request");
    expect_refused({}, R"({"a":)" + std::string(1000, '[') + std::string(1000, ']') + "}", 400,
                   "501 invalid_request");
    expect_refused({}, "{\"prompt\": \"cut", 400, "501 invalid_request");
    expect_refused({{"Chivedeal-Deadline-Ms", "soon"}}, "{}", 400, "501 invalid_request");
    expect_refused({{"Chivedeal-Priority", "10"}}, "{}", 400, "501 invalid_request");
    expect_refused({{"Chivedeal-Request-Id", std::string(129, 'x')}}, "{}", 400,
                   "501 invalid_request");
    expect_refused({{"Idempotency-Key", "a b"}}, "{}", 400, "501 invalid_request");
    expect_refused({}, std::string(request_path::max_body_bytes + 1, ' '), 413,
                   "502 request_too_large");
}
