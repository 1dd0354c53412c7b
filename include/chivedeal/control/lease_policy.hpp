#ifndef CHIVEDEAL_CONTROL_LEASE_POLICY_HPP
#define CHIVEDEAL_CONTROL_LEASE_POLICY_HPP

#include "chivedeal/control/held_leases.hpp"
#include "chivedeal/control/lease_event.hpp"
#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chivedeal::state {
struct lease_grant;
struct record;
} // namespace chivedeal::state

namespace chivedeal::control {

/// Decides when this node acquires, renews and releases leases.
///
/// The holder counts the term from the time just before it sent the append. A challenger waits a
/// full term from the time it read the newest grant. The holder's term therefore ends before a
/// takeover is sent, whatever the offset between the two clocks.
class lease_policy
{
public:
    struct options
    {
        node_id self;
        absl::Duration term = absl::Seconds(15);
        std::vector<std::string> scopes;
        /// Makes change identifiers unique across restarts; set by `lease_keeper`.
        std::string change_prefix;
    };

    explicit lease_policy(options settings);

    /// Processes the event and returns the records to append. `now` is monotonic.
    std::vector<state::record> handle(const lease_event& event, absl::Time now);

    /// Returns true if this node may use the lease of `scope` at `now`.
    bool holds(const std::string& scope, absl::Time now) const;

    const held_leases& held() const { return m_held; }

private:
    class handler;

    // Newest grant of a scope; `observed_at` is the time at which this node read it.
    struct scope_state
    {
        node_id holder;
        absl::Duration term;
        std::uint64_t fence = 0;
        std::uint64_t renewal_offset = 0;
        absl::Time observed_at = absl::InfinitePast();
        absl::Time next_append_at = absl::InfinitePast();
    };

    struct pending_grant
    {
        std::string scope;
        absl::Time sent_at;
    };

    absl::Duration takeover_delay(const std::string& scope) const;
    state::record make_grant(const std::string& scope, absl::Duration term, absl::Time now);
    void on_grant(const state::lease_grant& grant, const change_id& change, std::uint64_t offset,
                  absl::Time now);
    void drop_lease(const std::string& scope, const std::string& reason);
    bool needs_grant(const std::string& scope, const scope_state& current, absl::Time now) const;

    options m_options;
    std::map<std::string, scope_state> m_scopes;
    std::map<change_id, pending_grant> m_pending;
    held_leases m_held;
    std::uint64_t m_next_change = 1;
    absl::Time m_started_at = absl::InfiniteFuture();
    bool m_has_state = false;
    bool m_released = false;
};

} // namespace chivedeal::control

#endif
