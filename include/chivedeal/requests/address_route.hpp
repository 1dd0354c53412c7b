#ifndef CHIVEDEAL_REQUESTS_ADDRESS_ROUTE_HPP
#define CHIVEDEAL_REQUESTS_ADDRESS_ROUTE_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/core/shared_cell.hpp"

#include "absl/time/time.h"

namespace httplib {
class Server;
}

namespace chivedeal::membership {
struct membership_view;
}

namespace chivedeal::requests {

/// Serves `GET /v1/addresses[?region=R]` on the caller listener. The region defaults to the node's.
class address_route
{
public:
    struct options
    {
        const shared_cell<membership::membership_view>& view;
        region_id region;
        /// How long a caller may cache the response. A draining node accepts requests for as long.
        absl::Duration ttl = absl::Seconds(5);
    };

    explicit address_route(options wiring);

    /// Registers the route; this object must outlive the server.
    void install(httplib::Server& server);

private:
    options m_options;
};

} // namespace chivedeal::requests

#endif
