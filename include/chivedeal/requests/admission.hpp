#ifndef CHIVEDEAL_REQUESTS_ADMISSION_HPP
#define CHIVEDEAL_REQUESTS_ADMISSION_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/core/result.hpp"

#include "absl/time/time.h"

#include <map>

namespace chivedeal::requests {

struct caller_request;

/// Admission control: limits the node's open requests by priority and by fair share, before they
/// enter any queue.
///
/// Each priority has its own limit, so lower priorities are refused first under load. A workspace
/// may use its weighted max-min fair share of that limit minus a reserve, which is kept free for
/// workspaces that have just become active.
class admission
{
public:
    struct options
    {
        /// Maximum number of open requests on the node.
        int max_open = 200;
        /// Fraction of `max_open` by which each priority's limit is below that of the next higher
        /// priority. Larger steps leave too much of the node idle when all requests have the
        /// middle priority.
        double priority_step = 0.02;
        /// Fraction of a priority's limit that is not divided into fair shares.
        double reserve = 0.1;
        /// A workspace that was refused within this time counts as having unmet demand.
        absl::Duration demand_window = absl::Seconds(1);
        /// Weights of workspaces in the fair share; a workspace not listed has weight 1.
        std::map<workspace_id, double> weights = {};
    };

    admission();
    explicit admission(options tunables);

    /// Counts the request as open; every success must be followed by `release`. Returns `shed`
    /// if a limit is reached.
    status admit(const caller_request& request, absl::Time now);

    void release(const workspace_id& workspace);

    int open() const { return m_open; }

private:
    struct account
    {
        int open = 0;
        double weight = 1;
        absl::Time last_refused = absl::InfinitePast();
    };

    double fair_share(const workspace_id& workspace, double limit, absl::Time now) const;
    void remove_idle_accounts(absl::Time now);

    options m_options;
    std::map<workspace_id, account> m_accounts;
    int m_open = 0;
};

} // namespace chivedeal::requests

#endif
