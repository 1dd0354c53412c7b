#include "chivedeal/control/move_controller.hpp"

#include "chivedeal/control/change_prefix.hpp"
#include "chivedeal/control/move_feed.hpp"
#include "chivedeal/control/move_inputs.hpp"
#include "chivedeal/control/rollout_policy.hpp"
#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/membership/gossip_port.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/state/cluster_state.hpp"
#include "chivedeal/state/record_sink.hpp"

#include "absl/strings/str_cat.h"

#include <utility>

namespace chivedeal::control {

namespace {

// All nodes must stop sending traffic to a bad version within 2 s of the decision.
constexpr absl::Duration evaluation_interval = absl::Milliseconds(100);
// Gossip exchanges once a second; counts published more often would be replaced before being sent.
constexpr absl::Duration publish_interval = absl::Seconds(1);

} // namespace

move_controller::move_controller(options wiring)
    : m_options(std::move(wiring)),
      m_counter(m_options.self),
      m_change_prefix(make_change_prefix(m_options.self))
{}

void move_controller::run()
{
    absl::Time next_evaluation = m_options.time.now();
    while (true) {
        const auto sample = m_options.inbox.pop(next_evaluation - m_options.time.now());
        if (!sample && m_options.inbox.closed())
            return;
        if (sample)
            m_counter.add(*sample);
        if (m_options.time.now() < next_evaluation)
            continue;
        next_evaluation = m_options.time.now() + evaluation_interval;
        evaluate();
    }
}

void move_controller::request_stop() { m_options.inbox.close(); }

void move_controller::evaluate()
{
    const absl::Time now = m_options.time.now();
    move_inputs inputs{.state = m_options.feed.state(),
                       .view = m_options.feed.view(),
                       .own_counts = {},
                       .held = *m_options.held_leases.load(),
                       .wall_now = m_options.time.wall_now()};
    m_counter.track(*inputs.state);
    inputs.own_counts = m_counter.counts();
    for (const move_command& command : m_options.policy->handle(inputs, now))
        execute(command);
    if (now < m_next_publish || inputs.own_counts.empty())
        return;
    m_next_publish = now + publish_interval;
    m_options.gossip.publish_outcomes(inputs.own_counts);
}

void move_controller::execute(const move_command& command)
{
    if (const auto* bad_version = std::get_if<membership::version_bad>(&command)) {
        log_event(event_id::version_found_bad, {{"service", bad_version->service.str()},
                                                {"version", bad_version->version.str()},
                                                {"test", bad_version->reason}});
        m_options.gossip.publish_fact(*bad_version);
        return;
    }
    if (const auto* advance = std::get_if<append_step>(&command)) {
        const auto& step = advance->step;
        // The lease may have expired if the thread was paused after the decision.
        if (!m_options.held_leases.load()->find(step.scope, m_options.time.now()))
            return;
        log_event(event_id::move_step_decided, {{"service", step.service.str()},
                                                {"version", step.version.str()},
                                                {"share", absl::StrCat(step.share)},
                                                {"evidence", advance->evidence}});
        append(step);
        return;
    }
    if (const auto* verdict = std::get_if<state::version_verdict>(&command)) {
        append(*verdict);
        return;
    }
    const auto& outcome = std::get<state::move_outcome>(command);
    log_event(outcome.done ? event_id::move_done : event_id::move_rolled_back,
              {{"service", outcome.service.str()},
               {"version", outcome.version.str()},
               {"reason", outcome.reason}});
    append(outcome);
}

void move_controller::append(state::record_body body)
{
    const change_id change(
        absl::StrCat(m_change_prefix, "-move-", std::to_string(m_next_change++)));
    // If the append fails, the policy repeats the command at a later evaluation.
    (void)m_options.records.append({.change = change, .body = std::move(body)});
}

} // namespace chivedeal::control
