#ifndef CHIVEDEAL_FORWARD_ROUTE_KIND_HPP
#define CHIVEDEAL_FORWARD_ROUTE_KIND_HPP

namespace chivedeal::forward {

/// What may be repeated on a route.
enum class route_kind
{
    idempotent,
    /// Runs at most once.
    non_idempotent,
    /// Server-sent events; non-idempotent unless the route is resumable.
    streaming,
};

} // namespace chivedeal::forward

#endif
