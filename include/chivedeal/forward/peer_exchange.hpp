#ifndef CHIVEDEAL_FORWARD_PEER_EXCHANGE_HPP
#define CHIVEDEAL_FORWARD_PEER_EXCHANGE_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/core/shared_cell.hpp"
#include "chivedeal/forward/batch_sender.hpp"
#include "chivedeal/forward/beacon_relay.hpp"
#include "chivedeal/forward/clock_estimator.hpp"
#include "chivedeal/forward/local_state.hpp"
#include "chivedeal/forward/node_settings.hpp"
#include "chivedeal/forward/peer_codec.hpp"
#include "chivedeal/forward/peer_table.hpp"
#include "chivedeal/forward/relayed_batch.hpp"
#include "chivedeal/forward/rollout_status.hpp"
#include "chivedeal/forward/wake_signal.hpp"

#include "absl/time/time.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivedeal {
class clock;
}

namespace chivedeal::era {
class epoch_register;
}

namespace chivedeal::forward {

class node_event_listener;
class batch_listener;
struct node_event;

/// Duty: sends this node's beacon to its peers and receives theirs.
class peer_exchange : public duty, public batch_sender
{
public:
    struct options
    {
        const node_settings& settings;
        const clock& time;
        std::vector<node_event_listener*> listeners;
        /// Receives the notices of long prompts.
        node_event_listener& prompt_listener;
        /// Receives the epochs that peers know of; the node's own one is sent to them.
        era::epoch_register* epochs = nullptr;
    };

    explicit peer_exchange(options parts);

    std::string name() const override { return "peers"; }
    void run() override;
    void request_stop() override;

    /// Sets the state that the next beacon reports. An urgent state and a change of `ready` or
    /// `leaving` are sent to all peers at once. Thread-safe.
    void publish(local_state state, bool urgent = false);
    void set_lease_token(std::optional<std::uint64_t> token);
    /// `about_to_send` goes into every beacon, `recent` into replies to new peers. Thread-safe.
    void set_planned_reports(std::vector<era::planned_report> about_to_send,
                             std::vector<era::planned_report> recent);
    /// Final states of roll-outs for the beacons; new ones are sent at once.
    void set_decided_rollouts(std::vector<rollout_status> decided);
    void relay(relayed_batch batch) override;
    /// Sends a notice of a long prompt: to all peers, or, if there are many, to those of the
    /// region. Thread-safe.
    void send_prompt_notice(const prompt_notice& notice);
    /// Delivers batches of a topic that peers relay to `listener`. Must be called before `run`.
    void subscribe(topic which, batch_listener& listener) { m_batch_listeners[which] = &listener; }
    /// Adds the address of a possibly unknown node, which receives this node's beacons until it
    /// answers. Thread-safe.
    void add_candidate(const address& node);

    /// Removes what nodes of other regions don't need: traffic between regions is billed by volume.
    static node_beacon trim_for_other_regions(node_beacon beacon, bool relayed);

    /// Start of this process as its beacons name it, in microseconds since 1970.
    std::int64_t started_us() const { return m_started_us; }

    /// Returns the next beacon.
    node_beacon make_beacon();
    /// Returns the reply to the first beacon of a peer, with what a node needs that has just
    /// started.
    node_beacon make_reply();

private:
    void send_beacon(int socket, bool urgent, absl::Time now);
    void send_to_other_regions(int socket, const node_beacon& beacon, bool urgent, absl::Time now);
    void send_to_region(int socket, const std::string& bytes) const;
    void send_batches(int socket);
    void send_notices(int socket);
    void dispatch(int socket, const peer_message& message, absl::Time now);
    // `direct`: received from the sender itself rather than a relay, so that its clock can be
    // compared.
    void handle_beacon(int socket, const node_beacon& beacon, bool direct, absl::Time now);
    bool is_in_own_region(const node_beacon& beacon) const
    {
        return beacon.region == m_settings.region;
    }
    void receive_all(int socket, absl::Time now);
    void expire_peers_and_update_time(absl::Time now);
    void notify_listeners(const node_event& event) const;
    absl::Duration beacon_interval() const;

    const node_settings& m_settings;
    const clock& m_time;
    std::vector<node_event_listener*> m_listeners;
    node_event_listener& m_prompt_listener;
    wake_signal m_wake;
    shared_cell<local_state> m_local_state;
    shared_cell<std::optional<std::uint64_t>> m_lease_token;
    shared_cell<std::vector<era::planned_report>> m_planned_reports;
    shared_cell<std::vector<era::planned_report>> m_recent_reports;
    shared_cell<std::vector<rollout_status>> m_decided_rollouts;
    era::epoch_register* m_epochs;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_urgent = false;
    peer_table m_table;
    beacon_relay m_relay;
    clock_estimator m_clocks;
    std::int64_t m_started_us;
    std::uint64_t m_sequence = 0;
    absl::Time m_next_cross_region_send = absl::InfinitePast();
    absl::Duration m_published_offset = absl::InfiniteDuration();
    bounded_ring<address> m_new_candidates;
    bounded_ring<relayed_batch> m_outgoing_batches;
    bounded_ring<prompt_notice> m_outgoing_notices;
    std::map<topic, batch_listener*> m_batch_listeners;
};

} // namespace chivedeal::forward

#endif
