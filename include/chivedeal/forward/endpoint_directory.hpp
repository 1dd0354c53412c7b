#ifndef CHIVEDEAL_FORWARD_ENDPOINT_DIRECTORY_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_DIRECTORY_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/endpoint_record.hpp"
#include "chivedeal/forward/node_event.hpp"

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <vector>

namespace chivedeal::forward {

/// Derives change events from the endpoints' records in the store.
///
/// During an outage of the store, the records of live endpoints expire. A removal that is read
/// shortly after an outage is therefore delayed, and dropped if the record reappears meanwhile.
/// Its due time is set when it is read: a later outage doesn't postpone it.
class endpoint_directory
{
public:
    struct options
    {
        /// Time after the last store failure during which removals are delayed. Live endpoints
        /// renew their records within two seconds of the store's recovery.
        absl::Duration removal_delay = absl::Milliseconds(2300);
    };

    endpoint_directory() : endpoint_directory(options{}) {}
    explicit endpoint_directory(options settings) : m_options(settings) {}

    std::vector<node_event> on_record(const endpoint_record& record);
    std::vector<node_event> on_removed(const endpoint_id& id, absl::Time now);
    /// Applies a complete list of the records. Endpoints missing from it are removed. The events
    /// include delayed removals and their cancellations.
    std::vector<node_event> on_list(const std::vector<endpoint_record>& records, absl::Time now);
    void on_store_failed(absl::Time now) { m_last_failure = now; }
    /// Returns when a delayed removal of the endpoint is due; nothing if none is delayed.
    std::optional<absl::Time> removal_due(const endpoint_id& id) const;
    /// Carries out delayed removals that are due.
    std::vector<node_event> tick(absl::Time now);

private:
    options m_options;
    std::map<endpoint_id, endpoint_record> m_records;
    // Endpoints whose records disappeared shortly after an outage and may reappear, with the times
    // at which they are removed otherwise.
    std::map<endpoint_id, absl::Time> m_pending_removals;
    absl::Time m_last_failure = absl::InfinitePast();
};

} // namespace chivedeal::forward

#endif
