#include "chivedeal/requests/http_endpoint_client.hpp"

#include "chivedeal/core/bounded_http_client.hpp"
#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/json_object.hpp"
#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/core/mutex.hpp"
#include "chivedeal/requests/attempt_event.hpp"
#include "chivedeal/requests/attempt_start.hpp"
#include "chivedeal/requests/flow_command.hpp"
#include "chivedeal/requests/json_merge.hpp"
#include "chivedeal/requests/sse_parser.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace chivedeal::requests {

namespace {

using nlohmann::json;

constexpr auto connect_timeout = std::chrono::milliseconds(1000);
// An engine that sends nothing for this long counts as lost. The limit is far above the longest
// prefill of the fake engines and of the latency target (1.2 s).
constexpr auto read_timeout = std::chrono::seconds(20);

// Limit for a whole response or stream, several times the longest that a model can generate.
constexpr std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;

constexpr int service_unavailable = 503;

// The HTTP exchange of one attempt; keeps the state that determines the failure code.
class exchange
{
public:
    exchange(const attempt_start& start, const std::function<bool(attempt_event)>& report,
             bounded_http_client& client)
        : m_start(start), m_report(report), m_client(client)
    {}

    void run_engine_attempt();
    void run_plain_attempt();
    /// Whether the response was read to its end, so that the connection can be reused.
    bool is_complete() const { return m_complete; }

private:
    httplib::Request make_request(const std::string& path, std::string body) const;
    bool handle_event(const sse_parser::event& event);
    bool handle_token(const sse_parser::event& event);
    bool handle_start(const std::string& data);
    void finish(const httplib::Result& response);
    bool emit(attempt_event_body body);
    void fail(result_code code, std::string message);

    const attempt_start& m_start;
    const std::function<bool(attempt_event)>& m_report;
    bounded_http_client& m_client;
    sse_parser m_parser;
    bool m_finished = false;
    bool m_complete = false;
    int m_status = 0;
    std::string m_error_body;
};

httplib::Request exchange::make_request(const std::string& path, std::string body) const
{
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.body = std::move(body);
    request.set_header("Content-Type", "application/json");
    request.set_header("Request-Id", m_start.request.str());
    request.set_header("Attempt", absl::StrCat(m_start.attempt));
    if (!m_start.idempotency_key.empty())
        request.set_header("Idempotency-Key", m_start.idempotency_key);
    return request;
}

void exchange::run_engine_attempt()
{
    json members{{"request_id", m_start.request.str()},
                 {"attempt", m_start.attempt},
                 {"version", m_start.version.str()},
                 {"priority", m_start.priority},
                 {"tokens_so_far", m_start.tokens_so_far}};
    if (!m_start.kv_handle.empty())
        members["kv_handle"] = m_start.kv_handle;
    httplib::Request request = make_request("/v1/generate", with_members(m_start.body, members));
    request.response_handler = [this](const httplib::Response& response) {
        m_status = response.status;
        return true;
    };
    request.content_receiver = [this](const char* data, std::size_t size, std::uint64_t,
                                      std::uint64_t) {
        if (m_status == 200)
            return m_parser.feed({data, size},
                                 [this](const auto& event) { return handle_event(event); });
        m_error_body.append(data, size);
        return m_error_body.size() < sse_parser::max_line_bytes;
    };
    finish(m_client.send(request));
}

void exchange::run_plain_attempt()
{
    const httplib::Request request = make_request("/v1/call", m_start.body);
    const httplib::Result response = m_client.send(request);
    if (response && response->status == 200) {
        m_finished = true;
        if (emit(attempt_started{}) && emit(attempt_token{.position = 0, .text = response->body}))
            emit(attempt_ended{});
        return;
    }
    if (response)
        m_error_body = response->body;
    finish(response);
}

bool exchange::handle_event(const sse_parser::event& event)
{
    if (event.type == "start")
        return handle_start(event.data);
    if (event.type == "end") {
        m_finished = true;
        return emit(attempt_ended{});
    }
    if (event.type == "error") {
        // The endpoint's error text may quote the request, which must not reach the log.
        fail(result_code::endpoint_failed, "the endpoint reported an error");
        return false;
    }
    return handle_token(event);
}

// The event's ID is "POSITION" or "POSITION ATTEMPT REQUEST".
bool exchange::handle_token(const sse_parser::event& event)
{
    const std::vector<std::string> id = absl::StrSplit(event.id, absl::MaxSplits(' ', 2));
    std::uint64_t position = 0;
    if (!absl::SimpleAtoi(id[0], &position)) {
        fail(result_code::endpoint_failed, "the endpoint sent a token without a position");
        return false;
    }
    const bool is_own = id.size() < 3 || !is_enabled(mechanism::attempt_fencing) ||
                        (id[1] == absl::StrCat(m_start.attempt) && id[2] == m_start.request.str());
    // A token of another request is reported as attempt 0, which never runs, so that the request
    // flow drops and counts it.
    return m_report(attempt_event{.request = m_start.request,
                                  .attempt = is_own ? m_start.attempt : 0,
                                  .body = attempt_token{.position = position, .text = event.data}});
}

bool exchange::handle_start(const std::string& data)
{
    const json counts = parse_json_object(data);
    return emit(
        attempt_started{.prompt_tokens = member_or(counts, "prompt_tokens", std::uint64_t{0}),
                        .cached_tokens = member_or(counts, "cached_tokens", std::uint64_t{0})});
}

void exchange::finish(const httplib::Result& response)
{
    m_complete = static_cast<bool>(response);
    if (m_finished)
        return;
    if (!response && response.error() == httplib::Error::Connection) {
        fail(result_code::endpoint_not_started, "cannot connect to the endpoint");
        return;
    }
    if (!response) {
        fail(result_code::endpoint_lost, httplib::to_string(response.error()));
        return;
    }
    const bool not_started = response->status == service_unavailable &&
                             member_or(parse_json_object(m_error_body), "not_started", false);
    if (not_started)
        fail(result_code::endpoint_not_started, "the endpoint refused the attempt");
    else if (response->status == 200)
        fail(result_code::endpoint_lost, "the stream ended without an end event");
    else
        fail(result_code::endpoint_failed,
             absl::StrCat("the endpoint returned HTTP status ", response->status));
}

bool exchange::emit(attempt_event_body body)
{
    return m_report(attempt_event{
        .request = m_start.request, .attempt = m_start.attempt, .body = std::move(body)});
}

void exchange::fail(result_code code, std::string message)
{
    m_finished = true;
    emit(attempt_failed{.reason = {.code = code, .message = std::move(message)}});
}

std::unique_ptr<bounded_http_client> make_client(const address& target)
{
    auto client = std::make_unique<bounded_http_client>(
        target, bounded_http_client::options{.max_response_bytes = max_response_bytes});
    client->set_connection_timeout(connect_timeout);
    client->set_read_timeout(read_timeout);
    client->set_tcp_nodelay(true);
    client->set_keep_alive(true);
    return client;
}

result<json> post(const address& target, const std::string& path, const json& body)
{
    const auto client = make_client(target);
    const httplib::Result response = client->Post(path, encode_json(body), "application/json");
    if (!response)
        return error{.code = result_code::endpoint_lost,
                     .message = httplib::to_string(response.error())};
    if (response->status != 200)
        return error{.code = result_code::endpoint_failed,
                     .message = absl::StrCat(path, ": HTTP status ", response->status)};
    return parse_json_object(response->body);
}

} // namespace

// Running attempts, so that another thread can stop them.
class http_endpoint_client::attempt_table
{
public:
    // Returns false if the attempt was cancelled before it was added.
    bool add(const attempt_start& start, bounded_http_client& client)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        const key added(start.request, start.attempt);
        if (std::find(m_cancelled.begin(), m_cancelled.end(), added) != m_cancelled.end())
            return false;
        m_running[added] = &client;
        return true;
    }

    void remove(const attempt_start& start)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_running.erase(key(start.request, start.attempt));
    }

    void cancel(const cancel_attempt& order)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        const key stopped(order.request, order.attempt);
        m_cancelled.push_back(stopped);
        if (m_cancelled.size() > max_cancelled_attempts)
            m_cancelled.pop_front();
        if (const auto it = m_running.find(stopped); it != m_running.end())
            it->second->stop();
    }

private:
    using key = std::pair<request_id, int>;

    // As many attempts as can wait in the attempt ring; an older one has left the ring by then.
    static constexpr std::size_t max_cancelled_attempts = 512;

    mutex m_mutex;
    std::map<key, bounded_http_client*> m_running;
    std::deque<key> m_cancelled;
};

// Idle connections to engines. Each call to a plain service opens a new connection: if the server
// closed a reused one, it would be unknown whether the call ran.
class http_endpoint_client::client_pool
{
public:
    std::unique_ptr<bounded_http_client> take(const address& target)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        auto& idle = m_idle[target];
        if (idle.empty())
            return make_client(target);
        auto client = std::move(idle.back());
        idle.pop_back();
        return client;
    }

    void put(const address& target, std::unique_ptr<bounded_http_client> client)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        if (m_idle.size() > max_addresses)
            m_idle.clear();
        if (auto& idle = m_idle[target]; idle.size() < max_idle_per_address)
            idle.push_back(std::move(client));
    }

private:
    static constexpr std::size_t max_idle_per_address = 8;
    // New instances have new addresses; the limit keeps connections to removed ones from
    // accumulating.
    static constexpr std::size_t max_addresses = 256;

    mutex m_mutex;
    std::map<address, std::vector<std::unique_ptr<bounded_http_client>>> m_idle;
};

http_endpoint_client::http_endpoint_client(const clock& time)
    : m_clock(time),
      m_attempts(std::make_unique<attempt_table>()),
      m_clients(std::make_unique<client_pool>())
{}

http_endpoint_client::~http_endpoint_client() = default;

void http_endpoint_client::run(const attempt_start& start,
                               const std::function<bool(attempt_event)>& report)
{
    const bool is_engine = start.kind == state::service_kind::engine;
    auto client = is_engine ? m_clients->take(start.target) : make_client(start.target);
    const bool in_time = m_clock.now() < start.deadline;
    if (!in_time || !m_attempts->add(start, *client)) {
        report(attempt_event{
            .request = start.request,
            .attempt = start.attempt,
            .body = attempt_failed{
                .reason = {.code = result_code::endpoint_not_started,
                           .message = in_time ? "cancelled while queued"
                                              : "the deadline passed while queued"}}});
        return;
    }
    exchange attempt(start, report, *client);
    if (is_engine)
        attempt.run_engine_attempt();
    else
        attempt.run_plain_attempt();
    m_attempts->remove(start);
    if (is_engine && attempt.is_complete())
        m_clients->put(start.target, std::move(client));
}

void http_endpoint_client::cancel(const cancel_attempt& order)
{
    m_attempts->cancel(order);
    (void)post(order.target, "/v1/cancel",
               json{{"request_id", order.request.str()}, {"attempt", order.attempt}});
}

result<std::string> http_endpoint_client::move(const move_kv& order)
{
    const auto exported =
        post(order.source, "/v1/kv/export", json{{"request_id", order.request.str()}});
    if (!is_ok(exported))
        return get_error(exported);
    const std::string handle = member_or(get_value(exported), "kv_handle", "");
    const auto imported = post(order.target_address, "/v1/kv/import",
                               json{{"kv_handle", handle}, {"from", to_string(order.source)}});
    if (!is_ok(imported))
        return get_error(imported);
    return handle;
}

} // namespace chivedeal::requests
