#include "chivedeal/requests/drain_controller.hpp"

#include "chivedeal/core/mechanism.hpp"

namespace chivedeal::requests {

drain_controller::drain_controller() : drain_controller(options{}) {}

drain_controller::drain_controller(options tunables) : m_options(tunables) {}

void drain_controller::start(absl::Time now)
{
    if (m_phase != phase::serving)
        return;
    m_phase = phase::starting;
    m_phase_end = now;
}

std::vector<drain_controller::step> drain_controller::advance(absl::Time now,
                                                              std::size_t open_requests)
{
    std::vector<step> steps;
    while (advance_one(now, open_requests, steps))
        continue;
    return steps;
}

// Returns whether the phase changed.
bool drain_controller::advance_one(absl::Time now, std::size_t open_requests,
                                   std::vector<step>& steps)
{
    switch (m_phase) {
    case phase::serving:
    case phase::finished:
        return false;
    case phase::starting:
        if (!is_enabled(mechanism::node_drain)) {
            steps.push_back(step::stop);
            m_phase = phase::finished;
            return false;
        }
        steps.push_back(step::delist);
        m_phase_end = now + m_options.address_ttl;
        m_phase = phase::delisted;
        return true;
    case phase::delisted:
        if (now < m_phase_end)
            return false;
        steps.push_back(step::close_intake);
        m_phase_end = now + m_options.drain_grace;
        m_phase = phase::waiting_for_streams;
        return true;
    case phase::waiting_for_streams:
        if (open_requests != 0 && now < m_phase_end)
            return false;
        // Needed even without open requests: finished answers whose callers have disconnected are
        // handed off to peers too.
        steps.push_back(step::hand_off);
        m_phase_end = now + m_options.hand_off_interval;
        m_phase = phase::handing_off;
        return false;
    case phase::handing_off:
        if (open_requests == 0) {
            steps.push_back(step::stop);
            m_phase = phase::finished;
            return true;
        }
        if (now >= m_phase_end) {
            steps.push_back(step::hand_off);
            m_phase_end = now + m_options.hand_off_interval;
        }
        return false;
    }
    return false;
}

} // namespace chivedeal::requests
