#ifndef CHIVEDEAL_FORWARD_ENDPOINTS_LEFT_HPP
#define CHIVEDEAL_FORWARD_ENDPOINTS_LEFT_HPP

namespace chivedeal::forward {

/// Whether endpoints that accept requests are left of a service that is being rolled out.
struct endpoints_left
{
    /// Of the target version.
    bool target = true;
    /// Of any other version, to which the traffic can go back.
    bool others = true;

    friend bool operator==(const endpoints_left&, const endpoints_left&) = default;
};

} // namespace chivedeal::forward

#endif
