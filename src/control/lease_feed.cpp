#include "chivedeal/control/lease_feed.hpp"

#include <utility>

namespace chivedeal::control {

void lease_feed::on_applied(const state::applied_record& applied)
{
    if (std::holds_alternative<state::lease_grant>(applied.entry.body))
        (void)m_inbox.try_push(applied);
}

void lease_feed::on_state(std::shared_ptr<const state::cluster_state> state)
{
    (void)m_inbox.try_push(state_update{.state = std::move(state)});
}

} // namespace chivedeal::control
