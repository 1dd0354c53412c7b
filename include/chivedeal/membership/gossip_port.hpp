#ifndef CHIVEDEAL_MEMBERSHIP_GOSSIP_PORT_HPP
#define CHIVEDEAL_MEMBERSHIP_GOSSIP_PORT_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/membership/fact.hpp"
#include "chivedeal/membership/outcome_count.hpp"

#include <map>
#include <vector>

namespace chivedeal::membership {

/// What other threads give to gossip. Calls do not block; a full ring drops demand and counts,
/// which are sent again, and never facts.
class gossip_port
{
public:
    virtual ~gossip_port() = default;

    virtual void publish_fact(const fact& value) = 0;

    /// `demand` in requests a second, `open_requests` as a count, of this node alone.
    virtual void publish_demand(const std::map<workspace_id, double>& demand,
                                const std::map<workspace_id, int>& open_requests) = 0;

    virtual void publish_outcomes(const std::vector<outcome_count>& counts) = 0;

    /// Marks this node as leaving; peers stop naming it to callers.
    virtual void publish_leaving() = 0;
};

} // namespace chivedeal::membership

#endif
