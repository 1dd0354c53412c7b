#ifndef CHIVEDEAL_FORWARD_ENDPOINT_DIRECTORY_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_DIRECTORY_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/endpoint_record.hpp"
#include "chivedeal/forward/node_event.hpp"

#include "absl/time/time.h"

#include <map>
#include <set>
#include <vector>

namespace chivedeal::forward {

/// Turns the endpoints' records into changes.
///
/// Records lapse while the store is away, though their endpoints live. A removal that is read right
/// after an outage takes effect only if the record is still missing some time after the return.
class endpoint_directory
{
public:
    struct options
    {
        /// After the store's return the records of living endpoints are back within two seconds.
        absl::Duration return_time = absl::Milliseconds(2300);
    };

    endpoint_directory() : endpoint_directory(options{}) {}
    explicit endpoint_directory(options settings) : m_options(settings) {}

    std::vector<node_event> on_record(const endpoint_record& record);
    std::vector<node_event> on_removed(const endpoint_id& id, absl::Time now);
    /// The whole list was read anew: what isn't in it is removed.
    std::vector<node_event> on_list(const std::vector<endpoint_record>& records, absl::Time now);
    void on_store_failed(absl::Time now) { m_last_failure = now; }
    /// Whether a removal of the endpoint is held back.
    bool holds_back(const endpoint_id& id) const { return m_removed.count(id) > 0; }
    /// Carries out removals that are due.
    std::vector<node_event> tick(absl::Time now);

private:
    bool after_outage(absl::Time now) const;

    options m_options;
    std::map<endpoint_id, endpoint_record> m_known;
    // Removed right after an outage; they may come back.
    std::set<endpoint_id> m_removed;
    absl::Time m_last_failure = absl::InfinitePast();
};

} // namespace chivedeal::forward

#endif
