#ifndef CHIVEDEAL_MEMBERSHIP_GOSSIP_INBOX_HPP
#define CHIVEDEAL_MEMBERSHIP_GOSSIP_INBOX_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/mutex.hpp"
#include "chivedeal/membership/gossip_event.hpp"
#include "chivedeal/membership/gossip_port.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivedeal {
class clock;
}

namespace chivedeal::membership {

/// What reaches the gossip thread: a ring of events from peers, and the newest values of this
/// node. The values outlive a restart of the thread, so that no fact of this node is lost.
class gossip_inbox : public gossip_port
{
public:
    explicit gossip_inbox(const clock& time, std::size_t capacity = 1024);

    void publish_fact(const fact& value) override;
    void publish_demand(const std::map<workspace_id, double>& demand,
                        const std::map<workspace_id, int>& open_requests) override;
    void publish_outcomes(const std::vector<outcome_count>& counts) override;
    void publish_leaving() override;

    /// `source` says in the log where the fact comes from.
    void publish_fact(const fact& value, std::string source);
    void publish_instances(std::vector<endpoint> list);
    void publish_offset(std::uint64_t applied);
    void publish_ready();

    bounded_ring<gossip_event>& ring() { return m_ring; }

    /// Returns the local values that changed since the last call.
    std::vector<gossip_event> take_local();

    /// Makes `take_local` return all values again, for a restarted thread.
    void replay();

private:
    struct timed_fact
    {
        local_fact published;
        absl::Time at;
    };

    void wake();

    const clock& m_clock;
    bounded_ring<gossip_event> m_ring;
    mutex m_mutex;
    std::vector<timed_fact> m_facts;
    std::size_t m_facts_taken = 0;
    std::optional<local_demand> m_demand;
    std::optional<local_outcomes> m_outcomes;
    std::optional<instances_listed> m_instances;
    std::uint64_t m_applied = 0;
    bool m_ready = false;
    bool m_leaving = false;
    bool m_values_changed = false;
    bool m_list_changed = false;
};

} // namespace chivedeal::membership

#endif
