#ifndef CHIVEDEAL_FORWARD_ENDPOINT_DIRECTORY_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_DIRECTORY_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/endpoint_record.hpp"
#include "chivedeal/forward/node_event.hpp"

#include "absl/time/time.h"

#include <map>
#include <vector>

namespace chivedeal::forward {

/// Turns the endpoints' records into changes.
///
/// Records lapse while the store is away, though their endpoints live; after an outage a removal
/// takes effect only when the record has stayed away for a while.
class endpoint_directory
{
public:
    struct options
    {
        /// After the store's return the records of living endpoints are back within two seconds.
        absl::Duration return_time = absl::Milliseconds(2300);
        /// Entries lapse after three missed heartbeats, so also some time after a short outage.
        absl::Duration outage_memory = absl::Seconds(6);
    };

    endpoint_directory() : endpoint_directory(options{}) {}
    explicit endpoint_directory(options settings) : m_options(settings) {}

    std::vector<node_event> on_record(const endpoint_record& record);
    std::vector<node_event> on_removed(const endpoint_id& id, absl::Time now);
    /// The whole list was read anew: what isn't in it is removed.
    std::vector<node_event> on_list(const std::vector<endpoint_record>& records, absl::Time now);
    void on_store_failed(absl::Time now) { m_last_failure = now; }
    /// Carries out removals that are due.
    std::vector<node_event> tick(absl::Time now);

private:
    bool after_outage(absl::Time now) const;

    options m_options;
    std::map<endpoint_id, endpoint_record> m_known;
    std::map<endpoint_id, absl::Time> m_removed_at;
    absl::Time m_last_failure = absl::InfinitePast();
};

} // namespace chivedeal::forward

#endif
