#ifndef CHIVEDEAL_REQUESTS_ADDRESS_ROUTE_HPP
#define CHIVEDEAL_REQUESTS_ADDRESS_ROUTE_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/core/shared_cell.hpp"
#include "chivedeal/requests/route_handler.hpp"

#include "absl/time/time.h"

namespace chivedeal::membership {
struct membership_view;
}

namespace chivedeal::requests {

/// Serves `GET /v1/addresses[?region=R]` on the caller listener. The region defaults to the node's.
class address_route : public route_handler
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

    std::optional<route_reply> handle(const route_call& call) const override;

private:
    options m_options;
};

} // namespace chivedeal::requests

#endif
