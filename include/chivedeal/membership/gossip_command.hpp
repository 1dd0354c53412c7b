#ifndef CHIVEDEAL_MEMBERSHIP_GOSSIP_COMMAND_HPP
#define CHIVEDEAL_MEMBERSHIP_GOSSIP_COMMAND_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/membership/gossip_message.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace chivedeal::membership {

struct membership_view;

/// Begins an exchange; also carries pushed facts.
struct send_exchange
{
    address peer;
    gossip_message message;
};

struct answer_exchange
{
    std::uint64_t reply = 0;
    gossip_message message;
};

/// Asks whether `target` answers: itself when `via` is `target_address`, else through a peer.
struct send_probe
{
    address via;
    node_id target;
    address target_address;
};

struct publish_view
{
    std::shared_ptr<const membership_view> view;
};

/// A change that operators see in the log.
struct report_change
{
    event_id event;
    std::string subject;
    std::string source;
};

using gossip_command =
    std::variant<send_exchange, answer_exchange, send_probe, publish_view, report_change>;

} // namespace chivedeal::membership

#endif
