#include "chivedeal/control/lease_keeper.hpp"

#include "chivedeal/control/change_prefix.hpp"
#include "chivedeal/core/clock.hpp"
#include "chivedeal/state/record.hpp"
#include "chivedeal/state/record_sink.hpp"

#include <utility>

namespace chivedeal::control {

namespace {

// Well below the renewal interval, which is a third of the term, even for a term of 1 s, the
// shortest useful one.
constexpr absl::Duration tick_interval = absl::Milliseconds(100);

lease_policy::options with_new_prefix(lease_policy::options policy)
{
    policy.change_prefix = make_change_prefix(policy.self);
    return policy;
}

} // namespace

lease_keeper::lease_keeper(options wiring)
    : m_options(std::move(wiring)), m_policy(with_new_prefix(m_options.policy))
{}

void lease_keeper::run()
{
    absl::Time next_tick = m_options.time.now();
    while (true) {
        const auto event = m_options.inbox.pop(next_tick - m_options.time.now());
        if (!event && m_options.inbox.closed())
            return;
        if (event)
            handle(*event);
        if (m_options.time.now() < next_tick)
            continue;
        next_tick = m_options.time.now() + tick_interval;
        handle(lease_tick{});
    }
}

void lease_keeper::request_stop() { m_options.inbox.close(); }

void lease_keeper::handle(const lease_event& event)
{
    const held_leases before = m_policy.held();
    const auto records = m_policy.handle(event, m_options.time.now());
    // Publish before appending, so that a lease is out of use before its release is in the log.
    if (m_policy.held() != before)
        m_options.held_leases.store(std::make_shared<const held_leases>(m_policy.held()));
    for (const state::record& entry : records)
        if (!is_ok(m_options.records.append(entry)))
            (void)m_policy.handle(append_refused{.change = entry.change}, m_options.time.now());
}

} // namespace chivedeal::control
