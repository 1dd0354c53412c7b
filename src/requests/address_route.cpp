#include "chivedeal/requests/address_route.hpp"

#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/requests/address_list.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace chivedeal::requests {

using nlohmann::json;

address_route::address_route(options wiring) : m_options(std::move(wiring)) {}

void address_route::install(httplib::Server& server)
{
    server.Get("/v1/addresses",
               [this](const httplib::Request& request, httplib::Response& response) {
                   const region_id region = request.has_param("region")
                                                ? region_id(request.get_param_value("region"))
                                                : m_options.region;
                   json addresses = json::array();
                   for (const address_entry& entry : list_addresses(*m_options.view.load(), region))
                       addresses.push_back({{"address", to_string(entry.listen)},
                                            {"weight", entry.weight},
                                            {"region", entry.region.str()}});
                   response.set_content(json{{"addresses", addresses},
                                             {"ttl_ms", absl::ToInt64Milliseconds(m_options.ttl)}}
                                            .dump(),
                                        "application/json");
               });
}

} // namespace chivedeal::requests
