#ifndef CHIVEDEAL_MEMBERSHIP_GOSSIP_EVENT_HPP
#define CHIVEDEAL_MEMBERSHIP_GOSSIP_EVENT_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/membership/endpoint.hpp"
#include "chivedeal/membership/fact.hpp"
#include "chivedeal/membership/gossip_message.hpp"
#include "chivedeal/membership/outcome_count.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace chivedeal::membership {

/// One gossip interval has passed.
struct gossip_tick
{};

/// A peer began an exchange; the answer goes back under `reply`.
struct exchange_received
{
    gossip_message message;
    std::uint64_t reply = 0;
};

struct exchange_answered
{
    gossip_message message;
};

/// An exchange had no answer in time.
struct exchange_failed
{
    address peer;
};

struct probe_finished
{
    node_id target;
    bool reached = false;
};

struct local_fact
{
    fact value;
    /// For the log, such as `notice`.
    std::string source = "local";
};

struct local_demand
{
    /// Requests a second.
    std::map<workspace_id, double> rates;
    std::map<workspace_id, int> open_requests;
};

struct local_outcomes
{
    std::vector<outcome_count> counts;
};

struct local_leaving
{};

/// The node has a state and takes requests.
struct local_ready
{};

struct local_offset
{
    std::uint64_t applied = 0;
};

/// A complete list from the platform.
struct instances_listed
{
    std::vector<endpoint> endpoints;
};

/// Wakes the gossip thread, which then looks at the local values; decides nothing.
struct local_change
{};

using gossip_event =
    std::variant<gossip_tick, exchange_received, exchange_answered, exchange_failed, probe_finished,
                 local_fact, local_demand, local_outcomes, local_leaving, local_ready, local_offset,
                 instances_listed, local_change>;

} // namespace chivedeal::membership

#endif
