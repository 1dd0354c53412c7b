#ifndef CHIVEDEAL_MEMBERSHIP_ENDPOINT_REGISTRY_HPP
#define CHIVEDEAL_MEMBERSHIP_ENDPOINT_REGISTRY_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/membership/endpoint.hpp"

#include "absl/time/time.h"

#include <map>
#include <vector>

namespace chivedeal::membership {

/// Merges the platform's lagging list with what is known of leaving endpoints.
///
/// A leaving mark goes before the list and is never taken back. An endpoint that vanished is kept
/// until two lists in a row omit it, since a single list may be incomplete; without lists the last
/// one stays in force.
class endpoint_registry
{
public:
    struct changes
    {
        std::vector<endpoint_id> listed;
        std::vector<endpoint_id> gone;
        /// Endpoints that the list shows as leaving and that were not known to be.
        std::vector<endpoint_id> leaving;

        friend bool operator==(const changes&, const changes&) = default;
    };

    /// Takes a complete list.
    changes apply_list(const std::vector<endpoint>& list);

    /// Marks an endpoint as leaving, listed or not. Returns whether that was new or a known
    /// reclaim time replaces an unknown one.
    bool mark_leaving(const endpoint_id& id, absl::Time reclaim_at);

    std::vector<endpoint> endpoints() const;

private:
    struct entry
    {
        endpoint value;
        int omissions = 0;
    };

    std::map<endpoint_id, entry> m_entries;
    std::map<endpoint_id, absl::Time> m_leaving;
};

} // namespace chivedeal::membership

#endif
