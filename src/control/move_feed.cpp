#include "chivedeal/control/move_feed.hpp"

#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include <utility>

namespace chivedeal::control {

move_feed::move_feed(bounded_ring<attempt_sample>& inbox)
    : m_inbox(inbox),
      m_state(std::make_shared<const state::cluster_state>()),
      m_view(std::make_shared<const membership::membership_view>())
{}

void move_feed::add_sample(const attempt_sample& sample) { (void)m_inbox.try_push(sample); }

void move_feed::on_state(std::shared_ptr<const state::cluster_state> state)
{
    m_state.store(std::move(state));
}

void move_feed::on_view(std::shared_ptr<const membership::membership_view> view)
{
    m_view.store(std::move(view));
}

} // namespace chivedeal::control
