#ifndef CHIVEDEAL_MEMBERSHIP_GOSSIP_MESSAGE_HPP
#define CHIVEDEAL_MEMBERSHIP_GOSSIP_MESSAGE_HPP

#include "chivedeal/membership/fact.hpp"
#include "chivedeal/membership/node_record.hpp"
#include "chivedeal/membership/outcome_report.hpp"
#include "chivedeal/membership/workspace_demand.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace chivedeal::membership {

/// Facts are spread over this many digest buckets, so that nodes that differ in a few facts
/// resend only the facts of the differing buckets.
constexpr std::size_t fact_buckets = 8;

/// Sum of the hashes of the facts in each bucket; equal sets have equal digests.
using fact_digest = std::array<std::uint32_t, fact_buckets>;

/// One direction of an exchange.
struct gossip_message
{
    /// The sender's own record.
    node_record sender;
    fact_digest digest{};
    std::uint32_t known_nodes = 0;
    /// The answer to a push carries only facts that the digest shows to be missing.
    bool push = false;
    /// Sent to a node that knows little; its facts are old and are not pushed on.
    bool catch_up = false;
    std::vector<node_record> nodes = {};
    std::vector<fact> facts = {};
    std::vector<workspace_demand> demand = {};
    std::vector<outcome_report> outcomes = {};

    friend bool operator==(const gossip_message&, const gossip_message&) = default;
};

} // namespace chivedeal::membership

#endif
