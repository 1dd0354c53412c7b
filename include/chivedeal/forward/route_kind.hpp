#ifndef CHIVEDEAL_FORWARD_ROUTE_KIND_HPP
#define CHIVEDEAL_FORWARD_ROUTE_KIND_HPP

namespace chivedeal::forward {

/// Determines whether requests of a route may be sent to an endpoint again.
enum class route_kind
{
    idempotent,
    /// The request must run at most once.
    non_idempotent,
    /// Server-sent events; non-idempotent unless the route is resumable.
    streaming,
};

} // namespace chivedeal::forward

#endif
