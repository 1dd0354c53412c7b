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

error unknown_outcome(const std::string& call, const httplib::Result& answer)
{
    return {.code = answer ? result_code::malformed_message : result_code::io_error,
            .message = absl::StrCat(call, ": ",
                                    answer ? absl::StrCat("status ", answer->status)
                                           : httplib::to_string(answer.error()))};
}

std::optional<pool_price> price_from(const json& entry)
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
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("prices") || !parsed["prices"].is_array())
        return error{.code = result_code::malformed_message, .message = "no list of prices"};
    std::vector<pool_price> out;
    for (const json& entry : parsed["prices"]) {
        const auto price = price_from(entry);
        if (!price)
            return error{.code = result_code::malformed_message,
                         .message = absl::StrCat("price ", out.size(), " is not readable")};
        out.push_back(*price);
    }
    return out;
}

result<instance_id> http_cloud_api::start(const order_start& order)
{
    const json body{{"token", to_string(order.token)},   {"zone", order.pool.zone.str()},
                    {"class", order.pool.machine_class}, {"reclaimable", order.pool.reclaimable},
                    {"service", order.service.str()},    {"version", order.version.str()}};
    httplib::Client client = detail::make_order_client(m_platform);
    const httplib::Result answer = client.Post("/cloud/start", body.dump(), "application/json");
    if (answer && answer->status == detail::http_conflict)
        return error{.code = result_code::start_refused, .message = "the pool has no room"};
    if (!answer || answer->status != 200)
        return unknown_outcome("start", answer);
    const json parsed = json::parse(answer->body, nullptr, false);
    const std::string id = parsed.is_object() ? member_or(parsed, "id", "") : "";
    if (id.empty())
        return unknown_outcome("start", answer);
    return instance_id(id);
}

status http_cloud_api::stop(const order_stop& order)
{
    const json body{{"token", to_string(order.token)}, {"instance", order.instance.str()}};
    httplib::Client client = detail::make_order_client(m_platform);
    const httplib::Result answer = client.Post("/cloud/stop", body.dump(), "application/json");
    if (!answer || answer->status != 200)
        return unknown_outcome("stop", answer);
    return ok_status();
}

result<instances_listed> http_cloud_api::list()
{
    httplib::Client client = detail::make_order_client(m_platform);
    const httplib::Result answer = client.Get("/instances");
    if (!answer || answer->status != 200)
        return unknown_outcome("list", answer);
    const json parsed = json::parse(answer->body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("instances") || !parsed["instances"].is_array())
        return unknown_outcome("list", answer);
    instances_listed out;
    for (const json& entry : parsed["instances"])
        if (entry.is_object())
            out.entries.push_back({.instance = instance_id(member_or(entry, "id", "")),
                                   .token = member_or(entry, "token", "")});
    return out;
}

result<std::vector<pool_price>> http_cloud_api::prices()
{
    httplib::Client client = detail::make_order_client(m_platform);
    const httplib::Result answer = client.Get("/cloud/prices");
    if (!answer || answer->status != 200)
        return unknown_outcome("prices", answer);
    return parse_prices(answer->body);
}

} // namespace chivedeal::control
