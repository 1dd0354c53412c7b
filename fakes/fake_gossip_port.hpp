#ifndef FAKES_FAKE_GOSSIP_PORT_HPP
#define FAKES_FAKE_GOSSIP_PORT_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/membership/gossip_port.hpp"

namespace chivedeal::fakes {

/// Stores published facts and outcome counts in rings that a test reads.
class fake_gossip_port : public membership::gossip_port
{
public:
    void publish_fact(const membership::fact& value) override { (void)m_facts.try_push(value); }

    void publish_demand(const std::map<workspace_id, double>& /*demand*/,
                        const std::map<workspace_id, int>& /*open_requests*/) override
    {}

    void publish_outcomes(const std::vector<membership::outcome_count>& counts) override
    {
        (void)m_outcomes.try_push(counts);
    }

    void publish_leaving() override {}

    bounded_ring<membership::fact> m_facts{64};
    bounded_ring<std::vector<membership::outcome_count>> m_outcomes{64};
};

} // namespace chivedeal::fakes

#endif
