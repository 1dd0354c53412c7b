#include "chivedeal/node/control_subtree.hpp"

#include "chivedeal/control/lease_keeper.hpp"
#include "chivedeal/control/lease_scope.hpp"
#include "chivedeal/control/move_controller.hpp"
#include "chivedeal/control/move_policy.hpp"
#include "chivedeal/control/order_sender.hpp"
#include "chivedeal/control/placement_controller.hpp"
#include "chivedeal/core/settings.hpp"
#include "chivedeal/core/supervisor.hpp"

#include <memory>

namespace chivedeal {

namespace {

constexpr std::size_t lease_capacity = 1024;
constexpr std::size_t sample_capacity = 4096;
// A report of each of 1,800 endpoints while the controller waits for the cloud.
constexpr std::size_t placement_capacity = 4096;
constexpr std::size_t order_request_capacity = 1024;
// Two polls of the instance list and a round of gossip's view behind the cloud's own list.
constexpr absl::Duration list_lag = absl::Seconds(2);

} // namespace

control_subtree::control_subtree(const settings& config, const clock& time)
    : m_config(config),
      m_clock(time),
      m_lease_inbox(lease_capacity),
      m_samples(sample_capacity),
      m_held(std::make_shared<const control::held_leases>()),
      m_lease_feed(m_lease_inbox),
      m_move_feed(m_samples),
      m_placement_inbox(placement_capacity),
      m_placement_feed(m_placement_inbox),
      m_order_requests(order_request_capacity),
      m_orders(std::make_shared<const control::open_orders>()),
      m_cloud(config.platform)
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
                         .held_leases = m_held,
                         .policy = {.self = m_config.node,
                                    .term = m_config.lease_term,
                                    .scopes = control::lease_scopes(m_config.region)}});
                 }},
            {.name = "move_controller",
             .make =
                 [this, links] {
                     return std::make_unique<control::move_controller>(
                         control::move_controller::options{
                             .time = m_clock,
                             .self = m_config.node,
                             .inbox = m_samples,
                             .feed = m_move_feed,
                             .held_leases = m_held,
                             .records = links.records,
                             .gossip = links.gossip,
                             .policy = std::make_shared<control::move_policy>()});
                 }},
            placement_spec(links),
            sender_spec()};
}

child_spec control_subtree::placement_spec(const wires& links)
{
    return {.name = "placement_controller", .make = [this, links] {
                return std::make_unique<control::placement_controller>(
                    control::placement_controller::options{
                        .time = m_clock,
                        .scope = control::placement_scope(m_config.region),
                        .inbox = m_placement_inbox,
                        .feed = m_move_feed,
                        .held_leases = m_held,
                        .cloud = m_cloud,
                        .gossip = links.gossip,
                        .orders = m_orders,
                        .order_requests = m_order_requests,
                        .planner = {.region = m_config.region},
                        .instance_list_delay = m_config.max_order_delay + list_lag});
            }};
}

child_spec control_subtree::sender_spec()
{
    return {.name = "order_sender", .make = [this] {
                return std::make_unique<control::order_sender>(control::order_sender::options{
                    .time = m_clock,
                    .scope = control::placement_scope(m_config.region),
                    .inbox = m_order_requests,
                    .held_leases = m_held,
                    .cloud = m_cloud,
                    .engines = m_engines,
                    .feed = m_move_feed,
                    .orders = m_orders,
                    .placement = m_placement_inbox,
                    .max_order_delay = m_config.max_order_delay});
            }};
}

} // namespace chivedeal
