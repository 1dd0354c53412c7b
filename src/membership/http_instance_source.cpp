#include "chivedeal/membership/http_instance_source.hpp"

#include "chivedeal/core/bounded_http_client.hpp"
#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/control_traffic.hpp"

#include "absl/strings/str_cat.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace chivedeal::membership {

namespace {

using nlohmann::json;

error malformed(const char* what)
{
    return {.code = result_code::malformed_message,
            .message = absl::StrCat("answer of the platform: ", what)};
}

// Returns the array under `key`, or nothing when the body has none.
std::optional<json> array_of(const std::string& body, const char* key)
{
    json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains(key) || !parsed[key].is_array())
        return std::nullopt;
    return parsed[key];
}

std::optional<endpoint> endpoint_from(const json& item)
{
    const auto text = [&](const char* key) { return item.at(key).get<std::string>(); };
    const auto port = item.at("port").get<std::int64_t>();
    if (port < 1 || port > std::numeric_limits<std::uint16_t>::max())
        return std::nullopt;
    return endpoint{
        .id = endpoint_id(text("id")),
        .listen = {.host = text("address"), .port = static_cast<std::uint16_t>(port)},
        .region = region_id(text("region")),
        .zone = zone_id(text("zone")),
        .machine_class = text("class"),
        .reclaimable = item.at("reclaimable").get<bool>(),
        .kind = text("kind") == "plain" ? state::service_kind::plain : state::service_kind::engine,
        .service = service_id(text("service")),
        .version = version_id(text("version")),
        .status = text("status") == "leaving" ? endpoint_status::leaving : endpoint_status::live,
        .reclaim_at = absl::InfiniteFuture()};
}

std::optional<reclaim_notice> notice_from(const json& item, absl::Time wall_now)
{
    const absl::Time deadline = absl::FromUnixMillis(item.at("deadline_ms").get<std::int64_t>());
    return reclaim_notice{.sequence = item.at("seq").get<std::uint64_t>(),
                          .endpoint = endpoint_id(item.at("instance").get<std::string>()),
                          .remaining = std::max(deadline - wall_now, absl::ZeroDuration())};
}

template<class T, class Convert>
std::vector<T> convert_items(const json& items, Convert convert)
{
    std::vector<T> out;
    for (const json& item : items) {
        try {
            if (auto value = convert(item))
                out.push_back(*std::move(value));
        }
        catch (const json::exception&) {
            continue;
        }
    }
    return out;
}

} // namespace

result<std::vector<endpoint>> parse_instances(const std::string& body)
{
    const auto items = array_of(body, "instances");
    if (!items)
        return malformed("no list of instances");
    return convert_items<endpoint>(*items, endpoint_from);
}

result<std::vector<reclaim_notice>> parse_notices(const std::string& body, absl::Time wall_now)
{
    const auto items = array_of(body, "notices");
    if (!items)
        return malformed("no list of notices");
    return convert_items<reclaim_notice>(
        *items, [wall_now](const json& item) { return notice_from(item, wall_now); });
}

http_instance_source::http_instance_source(options wiring) : m_options(std::move(wiring)) {}

result<std::vector<endpoint>> http_instance_source::instances()
{
    const auto answer = get("/instances", m_tag);
    if (!is_ok(answer))
        return get_error(answer);
    if (get_value(answer).unchanged)
        return m_last;
    auto list = parse_instances(get_value(answer).body);
    if (!is_ok(list))
        return list;
    m_tag = get_value(answer).tag;
    m_last = m_tag.empty() ? std::vector<endpoint>{} : get_value(list);
    return list;
}

result<std::vector<reclaim_notice>> http_instance_source::notices(std::uint64_t after)
{
    const auto answer = get(absl::StrCat("/notices?after=", after), "");
    if (!is_ok(answer))
        return get_error(answer);
    return parse_notices(get_value(answer).body, m_options.time.wall_now());
}

result<http_instance_source::tagged_body>
http_instance_source::get(const std::string& path, const std::string& known_tag) const
{
    bounded_http_client client(m_options.platform);
    const auto limit = absl::ToChronoMilliseconds(m_options.timeout);
    client.set_connection_timeout(limit);
    client.set_read_timeout(limit);
    if (m_options.traffic != nullptr)
        m_options.traffic->watch(client, control_purpose::instance_list);
    httplib::Headers headers;
    if (!known_tag.empty())
        headers.emplace("If-None-Match", known_tag);
    const httplib::Result answer = client.Get(path, headers);
    if (!answer)
        return error{.code = result_code::io_error,
                     .message = absl::StrCat("GET ", path, ": ", to_string(answer.error()))};
    if (answer->status == 304 && !known_tag.empty())
        return tagged_body{.unchanged = true};
    if (answer->status != 200)
        return error{.code = result_code::io_error,
                     .message = absl::StrCat("GET ", path, ": HTTP status ", answer->status)};
    return tagged_body{.tag = answer->get_header_value("ETag"), .body = answer->body};
}

} // namespace chivedeal::membership
