#ifndef CHIVEDEAL_FORWARD_VERSION_SPLIT_HPP
#define CHIVEDEAL_FORWARD_VERSION_SPLIT_HPP

#include "chivedeal/core/id.hpp"

#include <set>

namespace chivedeal::forward {

/// How a service's requests are divided between one version and the others.
struct version_split
{
    version_id version;
    /// Share of the requests that the version gets. With 0 it gets no requests at all.
    double share = 1;
    /// The versions that get the rest; all others if empty. Further versions get requests only if
    /// none of these can serve them.
    std::set<version_id> stable;

    friend bool operator==(const version_split&, const version_split&) = default;
};

} // namespace chivedeal::forward

#endif
