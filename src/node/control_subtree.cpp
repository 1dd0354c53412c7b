#include "chivedeal/node/control_subtree.hpp"

#include "chivedeal/control/lease_keeper.hpp"
#include "chivedeal/control/lease_scope.hpp"
#include "chivedeal/control/move_controller.hpp"
#include "chivedeal/control/move_policy.hpp"
#include "chivedeal/core/settings.hpp"
#include "chivedeal/core/supervisor.hpp"

#include <memory>

namespace chivedeal {

namespace {

constexpr std::size_t lease_capacity = 1024;
constexpr std::size_t sample_capacity = 4096;

} // namespace

control_subtree::control_subtree(const settings& config, const clock& time)
    : m_config(config),
      m_clock(time),
      m_lease_inbox(lease_capacity),
      m_samples(sample_capacity),
      m_held(std::make_shared<const control::held_leases>()),
      m_lease_feed(m_lease_inbox),
      m_move_feed(m_samples)
{}

child_spec control_subtree::make_spec(wires links)
{
    return {.name = "control", .make = [this, links] {
                return std::make_unique<supervisor>(supervisor_options{.name = "control"},
                                                    make_children(links));
            }};
}

// A full ring loses the release; the leases then run out by themselves.
void control_subtree::release_leases() { (void)m_lease_inbox.try_push(control::release_leases{}); }

std::vector<child_spec> control_subtree::make_children(const wires& links)
{
    return {{.name = "lease_keeper",
             .make =
                 [this, links] {
                     return std::make_unique<control::lease_keeper>(control::lease_keeper::options{
                         .time = m_clock,
                         .inbox = m_lease_inbox,
                         .records = links.records,
                         .held = m_held,
                         .policy = {.self = m_config.node,
                                    .term = m_config.lease_term,
                                    .scopes = control::lease_scopes(m_config.region)}});
                 }},
            {.name = "move_controller", .make = [this, links] {
                 return std::make_unique<control::move_controller>(
                     control::move_controller::options{
                         .time = m_clock,
                         .self = m_config.node,
                         .inbox = m_samples,
                         .feed = m_move_feed,
                         .held = m_held,
                         .records = links.records,
                         .gossip = links.gossip,
                         .policy = std::make_shared<control::move_policy>()});
             }}};
}

} // namespace chivedeal
