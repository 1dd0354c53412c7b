#include "chivedeal/requests/address_route.hpp"

#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/requests/address_list.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace chivedeal::requests {

using nlohmann::json;

address_route::address_route(options wiring) : m_options(std::move(wiring)) {}

std::optional<route_reply> address_route::handle(const route_call& call) const
{
    if (call.method != "GET" || call.path != "/v1/addresses")
        return std::nullopt;
    const auto asked = call.parameters.find("region");
    const region_id region =
        asked == call.parameters.end() ? m_options.region : region_id(asked->second);
    json addresses = json::array();
    for (const address_entry& entry : list_addresses(*m_options.view.load(), region))
        addresses.push_back({{"address", to_string(entry.listen)},
                             {"weight", entry.weight},
                             {"region", entry.region.str()}});
    return route_reply{
        .body = json{{"addresses", addresses}, {"ttl_ms", absl::ToInt64Milliseconds(m_options.ttl)}}
                    .dump()};
}

} // namespace chivedeal::requests
