#ifndef CHIVEDEAL_REQUESTS_ROUTE_HANDLER_HPP
#define CHIVEDEAL_REQUESTS_ROUTE_HANDLER_HPP

#include "chivedeal/requests/route_call.hpp"
#include "chivedeal/requests/route_reply.hpp"

#include <optional>

namespace chivedeal::requests {

/// Serves some of the routes on the callers' listener. May block; called from several threads.
class route_handler
{
public:
    virtual ~route_handler() = default;

    /// Returns nothing if the handler has no such route.
    virtual std::optional<route_reply> handle(const route_call& call) const = 0;
};

} // namespace chivedeal::requests

#endif
