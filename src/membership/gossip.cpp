#include "chivedeal/membership/gossip.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/membership/gossip_inbox.hpp"
#include "chivedeal/membership/gossip_state.hpp"
#include "chivedeal/membership/membership_listener.hpp"
#include "chivedeal/membership/peer_transport.hpp"

#include <algorithm>
#include <utility>

namespace chivedeal::membership {

namespace {

// A restarted thread or node continues above its earlier incarnations.
gossip_options with_new_incarnation(gossip_options value, absl::Time wall_now)
{
    const auto milliseconds = static_cast<std::uint64_t>(absl::ToUnixMillis(wall_now));
    value.self.incarnation = std::max(value.self.incarnation, milliseconds);
    return value;
}

} // namespace

gossip::gossip(options wiring) : m_options(std::move(wiring)) {}

void gossip::run()
{
    gossip_state state(with_new_incarnation(m_options.decisions, m_options.time.wall_now()));
    gossip_inbox& inbox = m_options.inbox;
    inbox.replay();
    absl::Time next_tick = m_options.time.now();
    while (true) {
        const auto event = inbox.ring().pop(next_tick - m_options.time.now());
        if (!event && inbox.ring().closed())
            return;
        const absl::Time now = m_options.time.now();
        for (const gossip_event& local : inbox.take_local())
            execute(state.handle(local, now));
        if (event)
            execute(state.handle(*event, now));
        if (now < next_tick)
            continue;
        next_tick = now + m_options.decisions.interval;
        execute(state.handle(gossip_tick{}, now));
    }
}

void gossip::request_stop() { m_options.inbox.ring().close(); }

void gossip::execute(const std::vector<gossip_command>& commands)
{
    for (const gossip_command& command : commands) {
        if (const auto* exchange = std::get_if<send_exchange>(&command))
            m_options.transport.exchange(*exchange);
        else if (const auto* answer = std::get_if<answer_exchange>(&command))
            m_options.transport.answer(*answer);
        else if (const auto* probe = std::get_if<send_probe>(&command))
            m_options.transport.probe(*probe);
        else if (const auto* view = std::get_if<publish_view>(&command))
            for (membership_listener* listener : m_options.listeners)
                listener->on_view(view->view);
        else if (const auto* change = std::get_if<report_change>(&command))
            log_event(change->event, {{"subject", change->subject}, {"source", change->source}});
    }
}

} // namespace chivedeal::membership
