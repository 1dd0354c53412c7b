#include "chivedeal/control/http_engine_api.hpp"

#include "http_client.hpp"

#include "chivedeal/control/order_command.hpp"

#include <nlohmann/json.hpp>

namespace chivedeal::control {

using nlohmann::json;

status http_engine_api::order(const address& engine, const order_load& order)
{
    const json body{{"order", order.loaded ? "load" : "unload"},
                    {"version", order.version.str()},
                    {"model", order.model},
                    {"adapter", order.adapter},
                    {"fence", order.fence}};
    const auto client = detail::make_http_client(engine);
    const httplib::Result response = client->Post("/v1/orders", body.dump(), "application/json");
    if (response && response->status == detail::http_conflict)
        return error{.code = result_code::stale_fence,
                     .message = "the engine has accepted an order from a newer lease holder"};
    if (!response || response->status != 200)
        return error{.code = result_code::io_error,
                     .message = "the engine did not accept the order"};
    return ok_status();
}

result<std::vector<version_id>> http_engine_api::loaded(const address& engine)
{
    const auto client = detail::make_http_client(engine);
    const httplib::Result response = client->Get("/v1/orders");
    if (!response || response->status != 200)
        return error{.code = result_code::io_error,
                     .message = "the engine did not return its loaded versions"};
    const json document = json::parse(response->body, nullptr, false);
    if (!document.is_object() || !document.contains("loaded") || !document["loaded"].is_array())
        return error{.code = result_code::malformed_message,
                     .message = "engine response: \"loaded\" is missing or not an array"};
    std::vector<version_id> out;
    for (const json& entry : document["loaded"])
        if (entry.is_string())
            out.emplace_back(entry.get<std::string>());
    return out;
}

} // namespace chivedeal::control
