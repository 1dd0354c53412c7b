#include "chivedeal/requests/http_endpoint_client.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/requests/attempt_event.hpp"
#include "chivedeal/requests/attempt_start.hpp"
#include "chivedeal/requests/sse_parser.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace chivedeal::requests {

namespace {

using nlohmann::json;

constexpr auto connect_timeout = std::chrono::milliseconds(1000);
// An engine that sends nothing for this long is taken as lost; the longest prefill of the
// stand-ins and of the latency target (1.2 s) is far below.
constexpr auto read_timeout = std::chrono::seconds(20);

constexpr int service_unavailable = 503;

json parse_object(const std::string& text)
{
    json parsed = json::parse(text, nullptr, false);
    return parsed.is_object() ? parsed : json::object();
}

// One attempt on its way; remembers what decides between the failure codes.
class exchange
{
public:
    exchange(const attempt_start& start, const std::function<bool(attempt_event)>& report)
        : m_start(start), m_report(report)
    {}

    void run_engine();
    void run_plain();

private:
    httplib::Request make_request(const std::string& path, const json& body) const;
    httplib::Client make_client() const;
    bool take_event(const sse_parser::event& event);
    bool take_start(const std::string& data);
    void finish(const httplib::Result& answer);
    bool emit(attempt_event_body body);
    void fail(result_code code, std::string message);

    const attempt_start& m_start;
    const std::function<bool(attempt_event)>& m_report;
    sse_parser m_parser;
    bool m_over = false;
    int m_status = 0;
    std::string m_error_body;
};

httplib::Client exchange::make_client() const
{
    httplib::Client client(m_start.target.host, m_start.target.port);
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(read_timeout);
    client.set_tcp_nodelay(true);
    return client;
}

httplib::Request exchange::make_request(const std::string& path, const json& body) const
{
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.body = body.dump();
    request.set_header("Content-Type", "application/json");
    request.set_header("Request-Id", m_start.request.str());
    request.set_header("Attempt", absl::StrCat(m_start.attempt));
    return request;
}

void exchange::run_engine()
{
    json body = parse_object(m_start.body);
    body["request_id"] = m_start.request.str();
    body["attempt"] = m_start.attempt;
    body["version"] = m_start.version.str();
    body["priority"] = m_start.priority;
    body["tokens_so_far"] = m_start.tokens_so_far;
    if (!m_start.kv_handle.empty())
        body["kv_handle"] = m_start.kv_handle;
    httplib::Request request = make_request("/v1/generate", body);
    request.response_handler = [this](const httplib::Response& response) {
        m_status = response.status;
        return true;
    };
    request.content_receiver = [this](const char* data, std::size_t size, std::uint64_t,
                                      std::uint64_t) {
        if (m_status == 200)
            return m_parser.feed({data, size},
                                 [this](const auto& event) { return take_event(event); });
        m_error_body.append(data, size);
        return m_error_body.size() < sse_parser::max_line_bytes;
    };
    httplib::Client client = make_client();
    finish(client.send(request));
}

void exchange::run_plain()
{
    const httplib::Request request = make_request("/v1/call", parse_object(m_start.body));
    httplib::Client client = make_client();
    const httplib::Result answer = client.send(request);
    if (answer && answer->status == 200) {
        m_over = true;
        if (emit(attempt_started{}) && emit(attempt_token{.position = 0, .text = answer->body}))
            emit(attempt_ended{});
        return;
    }
    if (answer)
        m_error_body = answer->body;
    finish(answer);
}

bool exchange::take_event(const sse_parser::event& event)
{
    if (event.type == "start")
        return take_start(event.data);
    if (event.type == "end") {
        m_over = true;
        return emit(attempt_ended{});
    }
    if (event.type == "error") {
        fail(result_code::endpoint_failed, event.data);
        return false;
    }
    std::uint64_t position = 0;
    if (!absl::SimpleAtoi(event.id, &position)) {
        fail(result_code::endpoint_failed, "token without a position");
        return false;
    }
    return emit(attempt_token{.position = position, .text = event.data});
}

bool exchange::take_start(const std::string& data)
{
    const json counts = parse_object(data);
    return emit(attempt_started{.prompt_tokens = counts.value("prompt_tokens", std::uint64_t{0}),
                                .cached_tokens = counts.value("cached_tokens", std::uint64_t{0})});
}

void exchange::finish(const httplib::Result& answer)
{
    if (m_over)
        return;
    if (!answer && answer.error() == httplib::Error::Connection) {
        fail(result_code::endpoint_not_started, "no connection");
        return;
    }
    if (!answer) {
        fail(result_code::endpoint_lost, httplib::to_string(answer.error()));
        return;
    }
    const bool not_started = answer->status == service_unavailable &&
                             parse_object(m_error_body).value("not_started", false);
    if (not_started)
        fail(result_code::endpoint_not_started, "refused by the endpoint");
    else if (answer->status == 200)
        fail(result_code::endpoint_lost, "stream ended without its end marker");
    else
        fail(result_code::endpoint_failed, absl::StrCat("HTTP status ", answer->status));
}

bool exchange::emit(attempt_event_body body)
{
    return m_report(attempt_event{
        .request = m_start.request, .attempt = m_start.attempt, .body = std::move(body)});
}

void exchange::fail(result_code code, std::string message)
{
    m_over = true;
    emit(attempt_failed{.reason = {.code = code, .message = std::move(message)}});
}

} // namespace

http_endpoint_client::http_endpoint_client(const clock& time) : m_clock(time) {}

void http_endpoint_client::run(const attempt_start& start,
                               const std::function<bool(attempt_event)>& report)
{
    exchange attempt(start, report);
    if (m_clock.now() >= start.deadline) {
        report(attempt_event{
            .request = start.request,
            .attempt = start.attempt,
            .body = attempt_failed{.reason = {.code = result_code::endpoint_not_started,
                                              .message = "deadline passed in the queue"}}});
        return;
    }
    if (start.kind == state::service_kind::engine)
        attempt.run_engine();
    else
        attempt.run_plain();
}

} // namespace chivedeal::requests
