#include "chivedeal/requests/caller_server.hpp"

#include "chivedeal/core/clock.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include <array>
#include <optional>
#include <stdexcept>
#include <utility>

namespace chivedeal::requests {

namespace {

using nlohmann::json;
using reply_ring = bounded_ring<answer_event>;

// Room for a burst of tokens while the caller's socket is busy.
constexpr std::size_t reply_capacity = 1024;

// Start of the prompt by which routing finds a warm cache; longer common starts are rare enough
// that the whole need not be compared.
constexpr std::size_t prefix_bytes = 1024;

constexpr int default_deadline_ms = 120'000;

std::string random_id()
{
    std::array<unsigned char, 12> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    std::string text = "r";
    for (const unsigned char byte : bytes)
        absl::StrAppend(&text, absl::Hex(byte, absl::kZeroPad2));
    return text;
}

int header_number(const httplib::Request& request, const char* name, int fallback)
{
    int value = fallback;
    if (request.has_header(name) && !absl::SimpleAtoi(request.get_header_value(name), &value))
        return -1;
    return value;
}

void refuse(httplib::Response& response, int http_status, const error& reason)
{
    response.status = http_status;
    response.set_content(json{{"outcome", "not_run"},
                              {"code", static_cast<int>(reason.code)},
                              {"error", to_string(reason)}}
                             .dump(),
                         "application/json");
}

int http_status_of(result_code code)
{
    switch (code) {
    case result_code::unknown_service:
    case result_code::unknown_workspace:
    case result_code::unknown_request:
        return 404;
    case result_code::invalid_request:
        return 400;
    case result_code::rate_limited:
        return 429;
    default:
        return 503;
    }
}

std::string format_event(const answer_event& event)
{
    if (const auto* token = std::get_if<answer_token>(&event))
        return absl::StrCat("id: ", token->position, "\ndata: ", token->text, "\n\n");
    if (const auto* moved = std::get_if<answer_moved>(&event))
        return absl::StrCat(
            "event: moved\ndata: ", json{{"address", to_string(moved->peer)}}.dump(), "\n\n");
    const auto& end = std::get<answer_end>(event);
    json data{{"outcome", to_string(end.result)}};
    if (end.reason.code != result_code::ok) {
        data["code"] = static_cast<int>(end.reason.code);
        data["error"] = to_string(end.reason);
    }
    return absl::StrCat("event: end\ndata: ", data.dump(), "\n\n");
}

result<caller_request> parse_request(const httplib::Request& http, absl::Time now)
{
    const json body = json::parse(http.body, nullptr, false);
    if (!body.is_object())
        return error{.code = result_code::invalid_request,
                     .message = "the body is not a JSON object"};
    const int deadline_ms = header_number(http, "Chivedeal-Deadline-Ms", default_deadline_ms);
    const int priority = header_number(http, "Chivedeal-Priority", 5);
    if (deadline_ms <= 0 || priority < 0 || priority > 9)
        return error{.code = result_code::invalid_request,
                     .message = "Chivedeal-Deadline-Ms must be a positive number and "
                                "Chivedeal-Priority one of 0 to 9"};
    std::string id = http.get_header_value("Chivedeal-Request-Id");
    return caller_request{.id = request_id(id.empty() ? random_id() : std::move(id)),
                          .workspace = workspace_id(http.get_header_value("Chivedeal-Workspace")),
                          .service = service_id(http.matches[1].str()),
                          .route = body.contains("route") && body["route"].is_string()
                                       ? body["route"].get<std::string>()
                                       : std::string(),
                          .priority = priority,
                          .deadline = now + absl::Milliseconds(deadline_ms),
                          .idempotency_key = http.get_header_value("Idempotency-Key"),
                          .body = http.body,
                          .prefix = body.contains("prompt") && body["prompt"].is_string()
                                        ? body["prompt"].get<std::string>().substr(0, prefix_bytes)
                                        : std::string()};
}

// Writes the ring's events to the caller's connection until the last one.
class answer_stream
{
public:
    answer_stream(std::shared_ptr<reply_ring> ring, answer_event first)
        : m_ring(std::move(ring)), m_next(std::move(first))
    {}

    bool write(httplib::DataSink& sink)
    {
        while (m_next) {
            const std::string text = format_event(*m_next);
            if (!sink.write(text.data(), text.size()))
                return false;
            const bool last = !std::holds_alternative<answer_token>(*m_next);
            m_next = last ? std::nullopt : m_ring->pop();
        }
        sink.done();
        return true;
    }

private:
    std::shared_ptr<reply_ring> m_ring;
    std::optional<answer_event> m_next;
};

} // namespace

caller_server::caller_server(options wiring)
    : m_options(std::move(wiring)), m_server(std::make_unique<httplib::Server>())
{
    m_server->new_task_queue = [count = m_options.max_connections] {
        return new httplib::ThreadPool(count);
    };
    m_server->set_payload_max_length(m_options.max_request_bytes);
    m_server->set_tcp_nodelay(true);
    install_routes();
    if (m_options.install)
        m_options.install(*m_server);
}

caller_server::~caller_server() = default;

void caller_server::run()
{
    if (!m_server->listen(m_options.listen.host, m_options.listen.port))
        throw std::runtime_error("cannot listen on " + to_string(m_options.listen));
}

void caller_server::request_stop() { m_server->stop(); }

void caller_server::install_routes()
{
    m_server->Post(R"(/v1/services/([^/]+)/requests)", [this](const httplib::Request& http,
                                                              httplib::Response& response) {
        const auto parsed = parse_request(http, m_options.time.now());
        if (!is_ok(parsed)) {
            refuse(response, http_status_of(get_error(parsed).code), get_error(parsed));
            return;
        }
        const caller_request& request = get_value(parsed);
        auto ring = std::make_shared<reply_ring>(reply_capacity);
        if (!m_options.router_inbox.try_push({.event = request_arrived{request}, .reply = ring})) {
            refuse(response, 503,
                   {.code = result_code::ring_full, .message = "the node is overloaded"});
            return;
        }
        auto first = ring->pop();
        if (!first)
            first =
                answer_end{.result = outcome::unknown,
                           .reason = {.code = result_code::stopping,
                                      .message = "the node lost the request; resume by its ID"}};
        if (const auto* end = std::get_if<answer_end>(&*first);
            end != nullptr && end->result == outcome::not_run) {
            refuse(response, http_status_of(end->reason.code), end->reason);
            return;
        }
        response.set_header("Chivedeal-Request-Id", request.id.str());
        auto stream = std::make_shared<answer_stream>(ring, std::move(*first));
        response.set_chunked_content_provider(
            "text/event-stream",
            [stream](std::size_t, httplib::DataSink& sink) { return stream->write(sink); });
    });
}

} // namespace chivedeal::requests
