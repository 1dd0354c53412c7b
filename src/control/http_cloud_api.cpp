#include "chivedeal/control/http_cloud_api.hpp"

#include "http_client.hpp"

#include "chivedeal/control/order_command.hpp"
#include "chivedeal/control/pool_price.hpp"
#include "chivedeal/core/json_object.hpp"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace chivedeal::control {

namespace {

using nlohmann::json;

error call_error(const std::string& call, const httplib::Result& response)
{
    return {.code = response ? result_code::malformed_message : result_code::io_error,
            .message = absl::StrCat(call, ": ",
                                    response ? absl::StrCat("status ", response->status)
                                             : httplib::to_string(response.error()))};
}

std::optional<pool_price> parse_price(const json& entry)
{
    if (!entry.is_object())
        return std::nullopt;
    const auto reclaimable = entry.find("reclaimable");
    const auto price = entry.find("price");
    if (reclaimable == entry.end() || !reclaimable->is_boolean() || price == entry.end() ||
        !price->is_number() || price->get<double>() < 0)
        return std::nullopt;
    pool_price out{.region = region_id(member_or(entry, "region", "")),
                   .pool = {.zone = zone_id(member_or(entry, "zone", "")),
                            .machine_class = member_or(entry, "class", ""),
                            .reclaimable = reclaimable->get<bool>()},
                   .hourly_price = price->get<double>()};
    if (out.region.str().empty() || out.pool.zone.str().empty() || out.pool.machine_class.empty())
        return std::nullopt;
    return out;
}

} // namespace

result<std::vector<pool_price>> parse_prices(const std::string& body)
{
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("prices") || !document["prices"].is_array())
        return error{.code = result_code::malformed_message,
                     .message = "price list: \"prices\" is missing or not an array"};
    std::vector<pool_price> out;
    for (const json& entry : document["prices"]) {
        const auto price = parse_price(entry);
        if (!price)
            return error{.code = result_code::malformed_message,
                         .message = absl::StrCat("price list: entry ", out.size(), " is invalid")};
        out.push_back(*price);
    }
    return out;
}

result<instance_id> http_cloud_api::start(const order_start& order)
{
    const json body{{"token", to_string(order.token)},   {"zone", order.pool.zone.str()},
                    {"class", order.pool.machine_class}, {"reclaimable", order.pool.reclaimable},
                    {"service", order.service.str()},    {"version", order.version.str()}};
    const auto client = detail::make_http_client(m_platform);
    const httplib::Result response = client->Post("/cloud/start", body.dump(), "application/json");
    if (response && response->status == detail::http_conflict)
        return error{.code = result_code::start_refused, .message = "the pool has no capacity"};
    if (!response || response->status != 200)
        return call_error("start", response);
    const json document = json::parse(response->body, nullptr, false);
    const std::string id = document.is_object() ? member_or(document, "id", "") : "";
    if (id.empty())
        return call_error("start", response);
    return instance_id(id);
}

status http_cloud_api::stop(const order_stop& order)
{
    const json body{{"token", to_string(order.token)}, {"instance", order.instance.str()}};
    const auto client = detail::make_http_client(m_platform);
    const httplib::Result response = client->Post("/cloud/stop", body.dump(), "application/json");
    if (!response || response->status != 200)
        return call_error("stop", response);
    return ok_status();
}

result<instances_listed> http_cloud_api::list()
{
    const auto client = detail::make_http_client(m_platform);
    const httplib::Result response = client->Get("/instances");
    if (!response || response->status != 200)
        return call_error("list", response);
    const json document = json::parse(response->body, nullptr, false);
    if (!document.is_object() || !document.contains("instances") ||
        !document["instances"].is_array())
        return call_error("list", response);
    instances_listed out;
    for (const json& entry : document["instances"])
        if (entry.is_object())
            out.entries.push_back({.instance = instance_id(member_or(entry, "id", "")),
                                   .token = member_or(entry, "token", "")});
    return out;
}

result<std::vector<pool_price>> http_cloud_api::prices()
{
    const auto client = detail::make_http_client(m_platform);
    const httplib::Result response = client->Get("/cloud/prices");
    if (!response || response->status != 200)
        return call_error("prices", response);
    return parse_prices(response->body);
}

} // namespace chivedeal::control
