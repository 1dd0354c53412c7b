#include "chivedeal/requests/caller_server.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/json_object.hpp"
#include "chivedeal/core/random_id.hpp"
#include "chivedeal/requests/request_members.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <utility>

namespace chivedeal::requests {

namespace {

using nlohmann::json;
using reply_ring = bounded_ring<answer_event>;

// Buffers a burst of tokens while the caller's socket is busy.
constexpr std::size_t max_reply_events = 1024;

// A resumed request receives all missed tokens at once; a caller that is further behind than this
// resumes again.
constexpr std::size_t max_resumed_reply_events = 8192;

// How often a silent stream is checked for a disconnected caller.
constexpr absl::Duration liveness_interval = absl::Seconds(1);

constexpr int listen_backlog = 512;

constexpr int default_deadline_ms = 120'000;

// IDs appear in logs, gossip and the log service, so their length and characters are restricted.
constexpr std::size_t max_id_bytes = 128;

bool is_identifier(const std::string& text)
{
    return text.size() <= max_id_bytes && std::all_of(text.begin(), text.end(), [](char c) {
               return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' ||
                      c == '.' || c == ':';
           });
}

error invalid_request(const char* message)
{
    return {.code = result_code::invalid_request, .message = message};
}

// Any kind of line break ends an SSE line, so the text after it needs a `data:` field of its own.
// The caller reads each line break back as a line feed.
std::string data_lines(const std::string& text)
{
    return absl::StrReplaceAll(text,
                               {{"\r\n", "\ndata: "}, {"\r", "\ndata: "}, {"\n", "\ndata: "}});
}

int header_number(const httplib::Request& request, const char* name, int fallback)
{
    int value = fallback;
    if (request.has_header(name) && !absl::SimpleAtoi(request.get_header_value(name), &value))
        return -1;
    return value;
}

// Unique within the process, since a restarted server uses the same router.
connection_number next_connection_number()
{
    static std::atomic<connection_number> last_number = 0;
    return ++last_number;
}

void refuse(httplib::Response& response, int http_status, const error& reason,
            outcome result = outcome::not_run)
{
    response.status = http_status;
    if (reason.code == result_code::rate_limited)
        response.set_header("Retry-After", "1");
    response.set_content(encode_json({{"outcome", to_string(result)},
                                      {"code", static_cast<int>(reason.code)},
                                      {"error", to_string(reason)}}),
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
    case result_code::request_too_large:
        return 413;
    case result_code::rate_limited:
        return 429;
    default:
        return 503;
    }
}

std::string format_event(const answer_event& event)
{
    if (const auto* token = std::get_if<answer_token>(&event))
        return absl::StrCat("id: ", token->position, "\ndata: ", data_lines(token->text), "\n\n");
    if (const auto* moved = std::get_if<answer_moved>(&event))
        return absl::StrCat(
            "event: moved\ndata: ", json{{"address", to_string(moved->peer)}}.dump(), "\n\n");
    const auto& end = std::get<answer_end>(event);
    json data{{"outcome", to_string(end.result)}};
    if (end.reason.code != result_code::ok) {
        data["code"] = static_cast<int>(end.reason.code);
        data["error"] = to_string(end.reason);
    }
    return absl::StrCat("event: end\ndata: ", encode_json(data), "\n\n");
}

result<caller_request> parse_request(const httplib::Request& http, absl::Time now)
{
    const auto members = read_request_members(http.body);
    if (!members)
        return invalid_request("the body is not a JSON object of at most 64 levels");
    const int deadline_ms = header_number(http, "Chivedeal-Deadline-Ms", default_deadline_ms);
    const int priority = header_number(http, "Chivedeal-Priority", 5);
    if (deadline_ms <= 0 || priority < 0 || priority > 9)
        return invalid_request("Chivedeal-Deadline-Ms must be a positive number and "
                               "Chivedeal-Priority an integer from 0 to 9");
    std::string id = http.get_header_value("Chivedeal-Request-Id");
    if (!is_identifier(id) || !is_identifier(http.get_header_value("Chivedeal-Workspace")) ||
        !is_identifier(http.get_header_value("Idempotency-Key")))
        return invalid_request(
            "Chivedeal-Request-Id, Chivedeal-Workspace and Idempotency-Key "
            "must have at most 128 characters of a-z, A-Z, 0-9, '-', '_', '.' and ':'");
    return caller_request{.id = request_id(id.empty() ? "r" + random_id() : std::move(id)),
                          .workspace = workspace_id(http.get_header_value("Chivedeal-Workspace")),
                          .service = service_id(http.matches[1].str()),
                          .route = members->route,
                          .priority = priority,
                          .deadline = now + absl::Milliseconds(deadline_ms),
                          .idempotency_key = http.get_header_value("Idempotency-Key"),
                          .body = http.body,
                          .max_tokens = members->max_tokens,
                          .prefix = members->prefix};
}

// Writes the events of a reply ring to the caller's connection.
class answer_stream
{
public:
    answer_stream(std::shared_ptr<reply_ring> ring, std::optional<answer_event> first)
        : m_ring(std::move(ring)), m_next(std::move(first))
    {}

    // Returns false if the caller disconnected.
    bool write(httplib::DataSink& sink)
    {
        while (m_next || !m_ring->closed()) {
            if (!m_next)
                m_next = m_ring->pop(liveness_interval);
            if (!m_next) {
                if (!sink.is_writable())
                    return false;
                continue;
            }
            const std::string text = format_event(*m_next);
            if (!sink.write(text.data(), text.size()))
                return false;
            if (!std::holds_alternative<answer_token>(*m_next))
                break;
            m_next = m_ring->pop(absl::ZeroDuration());
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
    // The library's default, SO_REUSEPORT, would let a second process on the same port receive part
    // of the connections.
    m_server->set_socket_options([this](socket_t socket) {
        const int yes = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        m_socket = socket;
    });
    // The library itself refuses a body above the limit, without a result code.
    m_server->set_error_handler([](const httplib::Request&, httplib::Response& response) {
        if (response.status == http_status_of(result_code::request_too_large))
            refuse(response, response.status,
                   {.code = result_code::request_too_large,
                    .message = "the request body is larger than --max-request-bytes"});
    });
    install_routes();
    if (m_options.add_routes)
        m_options.add_routes(*m_server);
}

caller_server::~caller_server() = default;

void caller_server::run()
{
    if (!m_server->bind_to_port(m_options.listen.host, m_options.listen.port))
        throw std::runtime_error(to_string(
            error{.code = result_code::invalid_setting,
                  .message = "cannot listen on " + to_string(m_options.listen) +
                             "; stop the process that uses the address or change --http"}));
    if (!open_listener())
        return;
    const bool succeeded = m_server->listen_after_bind();
    if (!close_listener() && !succeeded)
        throw std::runtime_error("cannot accept connections on " + to_string(m_options.listen));
}

bool caller_server::open_listener()
{
    const std::lock_guard<mutex> lock(m_mutex);
    if (m_stopping)
        return false;
    // The library uses a backlog of 5; further callers would wait a second until TCP retries the
    // connection.
    m_stop_socket = listen(m_socket, listen_backlog) == 0 ? dup(m_socket) : -1;
    if (m_stop_socket < 0)
        throw std::runtime_error("cannot accept connections on " + to_string(m_options.listen));
    return true;
}

bool caller_server::close_listener()
{
    const std::lock_guard<mutex> lock(m_mutex);
    close(m_stop_socket);
    m_stop_socket = -1;
    return m_stopping;
}

// The library's stop() closes the socket while another thread accepts on it, and does nothing
// before the accept loop runs. Shutting down a duplicate descriptor ends the accept loop, which
// then closes the original.
void caller_server::request_stop()
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_stopping = true;
    if (m_stop_socket >= 0)
        shutdown(m_stop_socket, SHUT_RDWR);
}

void caller_server::install_routes()
{
    const auto id_of = [](const httplib::Request& http) {
        return request_id(http.matches[1].str());
    };
    m_server->Post(R"(/v1/services/([^/]+)/requests)", [this](const httplib::Request& http,
                                                              httplib::Response& response) {
        const auto parsed = parse_request(http, m_options.time.now());
        if (!is_ok(parsed)) {
            const error& reason = get_error(parsed);
            refuse(response, http_status_of(reason.code), reason);
            return;
        }
        const connection_number connection = next_connection_number();
        const caller_request& request = get_value(parsed);
        serve({.event = request_arrived{.request = request, .connection = connection},
               .reply = std::make_shared<reply_ring>(max_reply_events)},
              request.id, connection, response);
    });
    m_server->Get(R"(/v1/requests/([^/]+))", [this, id_of](const httplib::Request& http,
                                                           httplib::Response& response) {
        const int last_position = header_number(http, "Last-Event-ID", -1);
        if (last_position < 0 && http.has_header("Last-Event-ID")) {
            refuse(response, 400, invalid_request("Last-Event-ID is not a token position"),
                   outcome::unknown);
            return;
        }
        const connection_number connection = next_connection_number();
        serve({.event =
                   request_resumed{.request = id_of(http),
                                   .connection = connection,
                                   .next_position = static_cast<std::uint64_t>(last_position + 1)},
               .reply = std::make_shared<reply_ring>(max_resumed_reply_events)},
              id_of(http), connection, response);
    });
    m_server->Delete(R"(/v1/requests/([^/]+))", [this, id_of](const httplib::Request& http,
                                                              httplib::Response& response) {
        const bool accepted = m_options.router_inbox.try_push(
            {.event = request_cancelled{.request = id_of(http)}, .reply = nullptr});
        response.status = accepted ? 202 : 503;
    });
}

void caller_server::serve(router_message message, const request_id& request,
                          std::uint64_t connection, httplib::Response& response)
{
    const auto ring = message.reply;
    // A new idempotent request that the router does not accept did not run. A resumed request may
    // have run, and one with an idempotency key may have run at another node.
    const bool is_arrival = std::holds_alternative<request_arrived>(message.event);
    const bool may_have_run =
        !is_arrival || !std::get<request_arrived>(message.event).request.idempotent();
    if (!m_options.router_inbox.try_push(std::move(message))) {
        refuse(response, 503, {.code = result_code::ring_full, .message = "the node is overloaded"},
               may_have_run ? outcome::unknown : outcome::not_run);
        return;
    }
    auto first_event = ring->pop();
    if (!first_event)
        first_event =
            answer_end{.result = outcome::unknown,
                       .reason = {.code = result_code::stopping,
                                  .message = "the node dropped the request; resume it by its ID"}};
    if (const auto* end = std::get_if<answer_end>(&*first_event);
        end != nullptr && end->result != outcome::answered && is_arrival) {
        refuse(response, http_status_of(end->reason.code), end->reason, end->result);
        return;
    }
    response.set_header("Chivedeal-Request-Id", request.str());
    auto stream = std::make_shared<answer_stream>(ring, std::move(first_event));
    response.set_chunked_content_provider(
        "text/event-stream",
        [stream](std::size_t, httplib::DataSink& sink) { return stream->write(sink); },
        [this, ring, request, connection](bool complete) {
            if (!complete)
                (void)m_options.router_inbox.push(
                    {.event = caller_disconnected{.request = request, .connection = connection},
                     .reply = nullptr});
        });
}

} // namespace chivedeal::requests
