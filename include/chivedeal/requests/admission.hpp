#ifndef CHIVEDEAL_REQUESTS_ADMISSION_HPP
#define CHIVEDEAL_REQUESTS_ADMISSION_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/core/result.hpp"

#include "absl/time/time.h"

#include <map>

namespace chivedeal::requests {

struct caller_request;

/// Bounds the node's open requests before any queue, by priority and by fair share.
///
/// A priority may fill its own part of the node, so under load lower ones are refused first. A
/// workspace may hold its weighted max-min fair share of that part less a reserve, which stays
/// free for a workspace that has just become busy.
class admission
{
public:
    struct options
    {
        /// Open requests of the node.
        int max_open = 200;
        /// Part of `max_open` that each priority step below the highest gives up. Larger steps
        /// leave too much of the node idle when all requests have the middle priority.
        double priority_step = 0.02;
        /// Part of the room that is not divided into fair shares.
        double reserve = 0.1;
        /// A workspace that was refused within this time wants more than it has.
        absl::Duration demand_window = absl::Seconds(1);
        /// Weights of workspaces in the fair share; 1 for one not named.
        std::map<workspace_id, double> weights = {};
    };

    admission();
    explicit admission(options tunables);

    /// Takes room for the request; `finished` must follow each success. Fails with `shed`.
    status admit(const caller_request& request, absl::Time now);

    void finished(const workspace_id& workspace);

    int open() const { return m_open; }

private:
    struct account
    {
        int open = 0;
        double weight = 1;
        absl::Time last_refused = absl::InfinitePast();
    };

    double fair_share(const workspace_id& workspace, double room, absl::Time now) const;
    void drop_idle(absl::Time now);

    options m_options;
    std::map<workspace_id, account> m_accounts;
    int m_open = 0;
};

} // namespace chivedeal::requests

#endif
