#ifndef CHIVEDEAL_STATE_STATE_KEEPER_HPP
#define CHIVEDEAL_STATE_STATE_KEEPER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/state/keeper_event.hpp"
#include "chivedeal/state/state_replica.hpp"

#include <memory>
#include <string>
#include <vector>

namespace chivedeal {
class clock;
}

namespace chivedeal::membership {
class peer_client;
struct node_record;
} // namespace chivedeal::membership

namespace chivedeal::state {

class published_state;
class state_listener;

/// Duty that applies records from the log readers and from peers, publishes the state and notifies
/// the listeners.
class state_keeper : public duty
{
public:
    struct options
    {
        const clock& time;
        state_machine_options machine;
        bounded_ring<keeper_event>& inbox;
        published_state& published;
        std::vector<state_listener*> listeners;
        /// May be null: then nothing is fetched from peers.
        membership::peer_client* peers = nullptr;
        /// Delay between attempts to fetch records or a snapshot from a peer.
        absl::Duration peer_retry_interval = absl::Seconds(1);
    };

    explicit state_keeper(options wiring);

    std::string name() const override { return "state_keeper"; }
    void run() override;
    void request_stop() override;

private:
    void restore();
    std::vector<log_entry> stored_tail() const;
    void handle(const keeper_event& event);
    void update_log_reachability(const std::string& stream, bool reachable,
                                 const std::string& reason);
    void fetch_from_peer();
    void fetch_snapshot_from(const membership::node_record& peer);
    void publish_update(const replica_update& update, const std::string& source);
    void notify_claims_restored();

    options m_options;
    state_replica m_replica;
    std::shared_ptr<const membership::membership_view> m_membership;
    bool m_control_reachable = true;
    absl::Time m_next_peer_attempt = absl::InfinitePast();
};

} // namespace chivedeal::state

#endif
