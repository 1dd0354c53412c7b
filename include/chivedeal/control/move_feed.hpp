#ifndef CHIVEDEAL_CONTROL_MOVE_FEED_HPP
#define CHIVEDEAL_CONTROL_MOVE_FEED_HPP

#include "chivedeal/control/attempt_sample.hpp"
#include "chivedeal/control/sample_sink.hpp"
#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/shared_cell.hpp"
#include "chivedeal/membership/membership_listener.hpp"
#include "chivedeal/state/state_listener.hpp"

#include <memory>

namespace chivedeal::control {

/// Pushes samples to the inbox of the move controller and holds the newest cluster state and
/// membership view for it. Outlives restarts of the controller.
class move_feed : public sample_sink,
                  public state::state_listener,
                  public membership::membership_listener
{
public:
    explicit move_feed(bounded_ring<attempt_sample>& inbox);

    void add_sample(const attempt_sample& sample) override;
    void on_applied(const state::applied_record& /*applied*/) override {}
    void on_state(std::shared_ptr<const state::cluster_state> state) override;
    void on_view(std::shared_ptr<const membership::membership_view> view) override;

    std::shared_ptr<const state::cluster_state> state() const { return m_state.load(); }
    std::shared_ptr<const membership::membership_view> view() const { return m_view.load(); }

private:
    bounded_ring<attempt_sample>& m_inbox;
    shared_cell<state::cluster_state> m_state;
    shared_cell<membership::membership_view> m_view;
};

} // namespace chivedeal::control

#endif
