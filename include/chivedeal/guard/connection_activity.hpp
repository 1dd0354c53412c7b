#ifndef CHIVEDEAL_GUARD_CONNECTION_ACTIVITY_HPP
#define CHIVEDEAL_GUARD_CONNECTION_ACTIVITY_HPP

#include "absl/time/time.h"

namespace chivedeal::guard {

/// What decides which connection is closed for a new one.
struct connection_activity
{
    /// A request is in progress, or its response isn't written.
    bool is_serving = false;
    /// The last response is written and the connection waits to be closed.
    bool is_ending = false;
    /// A request was answered on it.
    bool has_served = false;
    absl::Time last_activity;

    friend bool operator==(const connection_activity&, const connection_activity&) = default;
};

/// Whether `left` is closed before `right`: a connection that ends anyway goes first, then one that
/// never completed a request, then an idle one; of these, the one that was inactive for longest.
/// One that is serving a request is never closed for a new one.
bool is_closed_before(const connection_activity& left, const connection_activity& right);

} // namespace chivedeal::guard

#endif
