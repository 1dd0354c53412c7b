#include "chivedeal/operators/caller_client.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/json_object.hpp"
#include "chivedeal/core/random_id.hpp"
#include "chivedeal/requests/sse_parser.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace chivedeal::operators {

namespace {

using nlohmann::json;

constexpr int http_ok = 200;
constexpr int http_not_found = 404;

httplib::Client make_client(const address& node, const caller_client::options& options)
{
    httplib::Client client(node.host, node.port);
    client.set_connection_timeout(0, absl::ToInt64Microseconds(options.connect_timeout));
    client.set_read_timeout(absl::ToInt64Seconds(options.read_timeout),
                            absl::ToInt64Microseconds(options.read_timeout) % 1'000'000);
    client.set_tcp_nodelay(true);
    return client;
}

} // namespace

// One request over as many connections as it takes.
class caller_client::conversation
{
public:
    conversation(caller_client& client, const call& request, const token_sink& on_token)
        : m_client(client),
          m_call(request),
          m_on_token(on_token),
          m_deadline(client.m_options.time.now() + request.deadline)
    {
        m_answer.request =
            request.request.empty() ? request_id("c" + random_id()) : request.request;
    }

    caller_answer run();

private:
    // How one connection ended.
    enum class connection_end
    {
        outcome_known,
        broken,
        moved,
        not_held,
        refused,
    };

    httplib::Request make_post() const;
    httplib::Request make_resume() const;
    connection_end exchange(const address& node, httplib::Request request);
    bool take_event(const requests::sse_parser::event& event);
    bool take_token(const requests::sse_parser::event& event);
    connection_end take_refusal(int status, const std::string& body);
    bool try_everywhere();
    bool react(connection_end end);
    void give_up(error reason);

    caller_client& m_client;
    const call& m_call;
    const token_sink& m_on_token;
    absl::Time m_deadline;
    caller_answer m_answer;
    std::optional<address> m_moved_to;
    // The request may have reached a node, so that it is resumed and not sent again.
    bool m_sent = false;
    int m_not_held = 0;
    bool m_progress = false;
};

httplib::Request caller_client::conversation::make_post() const
{
    httplib::Request request;
    request.method = "POST";
    request.path = absl::StrCat("/v1/services/", m_call.service.str(), "/requests");
    request.body = m_call.body;
    request.set_header("Content-Type", "application/json");
    request.set_header("Chivedeal-Request-Id", m_answer.request.str());
    request.set_header("Chivedeal-Workspace", m_call.workspace.str());
    request.set_header("Chivedeal-Priority", absl::StrCat(m_call.priority));
    const absl::Duration left = m_deadline - m_client.m_options.time.now();
    request.set_header("Chivedeal-Deadline-Ms",
                       absl::StrCat(std::max<std::int64_t>(1, absl::ToInt64Milliseconds(left))));
    if (!m_call.idempotency_key.empty())
        request.set_header("Idempotency-Key", m_call.idempotency_key);
    return request;
}

httplib::Request caller_client::conversation::make_resume() const
{
    httplib::Request request;
    request.method = "GET";
    request.path = absl::StrCat("/v1/requests/", m_answer.request.str());
    if (!m_answer.tokens.empty())
        request.set_header("Last-Event-ID", absl::StrCat(m_answer.tokens.size() - 1));
    return request;
}

caller_client::conversation::connection_end
caller_client::conversation::exchange(const address& node, httplib::Request request)
{
    requests::sse_parser parser;
    int status = 0;
    std::string error_body;
    request.response_handler = [&](const httplib::Response& response) {
        status = response.status;
        return true;
    };
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                                   std::uint64_t) {
        if (status == http_ok)
            return parser.feed({data, size},
                               [this](const auto& event) { return take_event(event); });
        error_body.append(data, size);
        return error_body.size() < requests::sse_parser::max_line_bytes;
    };
    m_moved_to.reset();
    httplib::Client client = make_client(node, m_client.m_options);
    const bool posted = request.method == "POST";
    const httplib::Result answer = client.send(request);
    if (!answer && answer.error() == httplib::Error::Connection)
        return connection_end::broken;
    if (posted)
        m_sent = true;
    if (!m_answer.outcome.empty())
        return connection_end::outcome_known;
    if (m_moved_to)
        return connection_end::moved;
    if (answer && status != http_ok)
        return take_refusal(status, error_body);
    return connection_end::broken;
}

bool caller_client::conversation::take_event(const requests::sse_parser::event& event)
{
    if (event.type.empty())
        return take_token(event);
    const json data = parse_json_object(event.data);
    if (event.type == "moved") {
        const auto peer = parse_address(member_or(data, "address", ""));
        if (is_ok(peer))
            m_moved_to = get_value(peer);
        return false;
    }
    if (event.type != "end")
        return true;
    m_answer.outcome = member_or(data, "outcome", "unknown");
    m_answer.reason = {.code = static_cast<result_code>(member_or(data, "code", 0)),
                       .message = member_or(data, "error", "")};
    return true;
}

bool caller_client::conversation::take_token(const requests::sse_parser::event& event)
{
    std::uint64_t position = 0;
    if (!absl::SimpleAtoi(event.id, &position) || position > m_answer.tokens.size())
        return false;
    if (position < m_answer.tokens.size())
        return true;
    m_progress = true;
    m_answer.tokens.push_back(event.data);
    m_on_token(position, event.data);
    return true;
}

caller_client::conversation::connection_end
caller_client::conversation::take_refusal(int status, const std::string& body)
{
    const json data = parse_json_object(body);
    const auto code = static_cast<result_code>(member_or(data, "code", 0));
    if (status == http_not_found && code == result_code::unknown_request)
        return connection_end::not_held;
    m_answer.reason = {.code = code, .message = member_or(data, "error", "")};
    // The node that refused did not run it, but an earlier node may have.
    const bool certain = m_answer.tokens.empty() && m_answer.resumes == 0;
    m_answer.outcome = certain ? member_or(data, "outcome", "not_run") : "unknown";
    return connection_end::refused;
}

bool caller_client::conversation::react(connection_end end)
{
    switch (end) {
    case connection_end::outcome_known:
    case connection_end::refused:
        return true;
    case connection_end::not_held:
        ++m_not_held;
        return false;
    case connection_end::broken:
    case connection_end::moved:
        return false;
    }
    return false;
}

// Tries each known address once; true when the request has its outcome.
bool caller_client::conversation::try_everywhere()
{
    m_not_held = 0;
    const std::vector<address> nodes = m_client.m_addresses;
    for (const address& node : nodes) {
        if (!m_sent) {
            if (react(exchange(node, make_post())))
                return true;
            if (!m_sent)
                continue;
        }
        while (m_moved_to) {
            ++m_answer.resumes;
            if (react(exchange(address(*m_moved_to), make_resume())))
                return true;
        }
        ++m_answer.resumes;
        if (react(exchange(node, make_resume())))
            return true;
    }
    return false;
}

caller_answer caller_client::conversation::run()
{
    int idle_rounds = 0;
    while (idle_rounds < m_client.m_options.max_rounds) {
        m_progress = false;
        if (try_everywhere())
            return m_answer;
        if (m_client.m_options.time.now() >= m_deadline)
            break;
        idle_rounds = m_progress ? 0 : idle_rounds + 1;
        absl::SleepFor(m_client.m_options.round_delay);
        m_client.refresh_addresses();
        const bool nowhere =
            m_not_held > 0 && m_not_held >= static_cast<int>(m_client.m_addresses.size());
        if (!m_sent || !nowhere)
            continue;
        if (!m_call.idempotency_key.empty())
            break;
        // No node holds the request any more: repeat it from its start.
        m_answer.tokens.clear();
        ++m_answer.repeats;
        m_sent = false;
    }
    give_up({.code = m_client.m_options.time.now() >= m_deadline ? result_code::deadline_exceeded
                                                                 : result_code::node_unreachable,
             .message = "no node gave an outcome"});
    return m_answer;
}

void caller_client::conversation::give_up(error reason)
{
    m_answer.outcome = m_sent || m_answer.repeats > 0 ? "unknown" : "not_run";
    m_answer.reason = std::move(reason);
}

caller_client::caller_client(options wiring)
    : m_options(std::move(wiring)), m_addresses(m_options.addresses)
{}

void caller_client::refresh_addresses()
{
    for (const address& node : std::vector<address>(m_addresses)) {
        httplib::Client client = make_client(node, m_options);
        const httplib::Result answer = client.Get("/v1/addresses");
        if (!answer || answer->status != http_ok)
            continue;
        const json data = parse_json_object(answer->body);
        if (!data.contains("addresses") || !data["addresses"].is_array())
            continue;
        std::vector<address> named;
        for (const json& entry : data["addresses"]) {
            const auto parsed =
                parse_address(entry.is_object() ? member_or(entry, "address", "") : "");
            if (is_ok(parsed))
                named.push_back(get_value(parsed));
        }
        if (named.empty())
            continue;
        // Known addresses stay behind the named ones: a node that left the list may still hold
        // the request.
        for (const address& known : m_addresses)
            if (std::find(named.begin(), named.end(), known) == named.end())
                named.push_back(known);
        m_addresses = std::move(named);
        return;
    }
}

caller_answer caller_client::send(const call& request, const token_sink& on_token)
{
    return conversation(*this, request, on_token).run();
}

} // namespace chivedeal::operators
