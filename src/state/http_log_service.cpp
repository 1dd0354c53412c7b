#include "chivedeal/state/http_log_service.hpp"

#include "chivedeal/core/bounded_http_client.hpp"
#include "chivedeal/state/log_batch.hpp"
#include "json_fields.hpp"

#include "absl/strings/str_cat.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <mutex>
#include <utility>

namespace chivedeal::state {

namespace {

using detail::json_fields;
using nlohmann::json;

error unavailable(std::string reason)
{
    return {.code = result_code::log_unavailable, .message = std::move(reason)};
}

error malformed(const char* what)
{
    return {.code = result_code::malformed_message,
            .message = absl::StrCat("the response of the log has no valid ", what)};
}

result<log_batch> parse_batch(const std::string& stream, const std::string& body)
{
    const json parsed = json::parse(body, nullptr, false);
    json_fields fields(parsed);
    log_batch batch{.stream = stream,
                    .first = fields.offset("first"),
                    .next = fields.offset("next"),
                    .entries = {}};
    if (!fields.invalid_field().empty() || !parsed.contains("records") ||
        !parsed["records"].is_array())
        return malformed("batch");
    for (const json& record : parsed["records"]) {
        json_fields entry(record);
        batch.entries.push_back({.offset = entry.offset("offset"), .data = entry.text("data")});
        if (!entry.invalid_field().empty() || batch.entries.back().offset >= batch.next ||
            (batch.entries.size() > 1 &&
             batch.entries.back().offset <= batch.entries[batch.entries.size() - 2].offset))
            return malformed("record");
    }
    return batch;
}

} // namespace

http_log_service::http_log_service(options wiring) : m_options(std::move(wiring)) {}

result<std::uint64_t> http_log_service::append(const std::string& stream,
                                               const std::vector<std::string>& records)
{
    json body{{"records", json::array()}};
    for (const std::string& data : records)
        body["records"].push_back(
            {{"id", absl::StrCat(absl::Hex(XXH64(data.data(), data.size(), 0)))}, {"data", data}});
    const auto answer =
        call(control_purpose::log_append, m_options.timeout, [&](bounded_http_client& client) {
            return client.Post("/log/" + stream, body.dump(), "application/json");
        });
    if (!is_ok(answer))
        return get_error(answer);
    const json parsed = json::parse(get_value(answer), nullptr, false);
    json_fields fields(parsed);
    const std::uint64_t offset = fields.offset("offset");
    if (!fields.invalid_field().empty())
        return malformed("offset");
    return offset;
}

result<log_batch> http_log_service::read(const std::string& stream, std::uint64_t from, int max,
                                         absl::Duration wait)
{
    const std::string path = absl::StrCat("/log/", stream, "?from=", from, "&max=", max,
                                          "&wait_ms=", absl::ToInt64Milliseconds(wait));
    const auto answer = call(control_purpose::log_read, m_options.timeout + wait,
                             [&](bounded_http_client& client) { return client.Get(path); });
    if (!is_ok(answer))
        return get_error(answer);
    return parse_batch(stream, get_value(answer));
}

void http_log_service::stop()
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_stopped = true;
    for (bounded_http_client* client : m_active)
        client->stop();
}

result<std::string>
http_log_service::call(control_purpose purpose, absl::Duration limit,
                       const std::function<httplib::Result(bounded_http_client&)>& request)
{
    bounded_http_client client(m_options.platform);
    client.set_connection_timeout(absl::ToChronoMilliseconds(m_options.timeout));
    client.set_read_timeout(absl::ToChronoMilliseconds(limit));
    client.set_write_timeout(absl::ToChronoMilliseconds(m_options.timeout));
    client.set_tcp_nodelay(true);
    if (m_options.traffic != nullptr)
        m_options.traffic->watch(client, purpose);
    {
        const std::lock_guard<mutex> lock(m_mutex);
        if (m_stopped)
            return error{.code = result_code::stopping, .message = "the node is stopping"};
        m_active.insert(&client);
    }
    const httplib::Result answer = request(client);
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_active.erase(&client);
    }
    if (!answer)
        return unavailable("the request to the log failed: " + httplib::to_string(answer.error()));
    if (answer->status != 200)
        return unavailable(absl::StrCat("the log returned HTTP status ", answer->status));
    return answer->body;
}

} // namespace chivedeal::state
