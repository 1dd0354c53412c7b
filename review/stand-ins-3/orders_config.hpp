#ifndef REVIEW_STAND_INS_3_ORDERS_CONFIG_HPP
#define REVIEW_STAND_INS_3_ORDERS_CONFIG_HPP

#include "clients.hpp"

#include <nlohmann/json.hpp>

namespace review {

/// Configuration of the service `booking` with one route, of unsafe requests or of streams that can't
/// be resumed.
inline json orders_config(int version, bool streaming)
{
    json route = {{"name", "r-orders"},
                  {"host", caller_host},
                  {"path_prefix", "/orders/"},
                  {"kind", streaming ? "streaming" : "unsafe"},
                  {"timeout_ms", streaming ? 15000 : 3000},
                  {"goal_ms", streaming ? 500 : 200},
                  {"priority", 0},
                  {"attempts", 1},
                  {"public", false},
                  {"service", "booking"}};
    if (streaming)
        route.update({{"resumable", false}, {"gap_aim_ms", 250}});
    const auto service = [](const char* name) {
        return json{{"name", name}, {"health_path", "/health"}, {"max_conns", 310}};
    };
    return {{"version", version},
            {"routes", {route}},
            {"services", {service("booking")}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}},
            {"tenants", {{{"name", "hule930"}, {"api_keys", {caller_key}}, {"priority", 1}}}}};
}

} // namespace review

#endif
