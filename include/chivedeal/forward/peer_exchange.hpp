#ifndef CHIVEDEAL_FORWARD_PEER_EXCHANGE_HPP
#define CHIVEDEAL_FORWARD_PEER_EXCHANGE_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/core/shared_cell.hpp"
#include "chivedeal/forward/beacon_relay.hpp"
#include "chivedeal/forward/clock_consensus.hpp"
#include "chivedeal/forward/local_state.hpp"
#include "chivedeal/forward/node_settings.hpp"
#include "chivedeal/forward/peer_codec.hpp"
#include "chivedeal/forward/peer_table.hpp"
#include "chivedeal/forward/relay_port.hpp"
#include "chivedeal/forward/relayed_batch.hpp"
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

namespace chivedeal::forward {

class node_event_listener;
class relay_listener;
struct node_event;

/// Duty: sends this node's beacon to its peers and hears theirs.
class peer_exchange : public duty, public relay_port
{
public:
    struct options
    {
        const node_settings& settings;
        const clock& time;
        std::vector<node_event_listener*> listeners;
        /// Gets the notices of prompts.
        node_event_listener& prompts;
    };

    explicit peer_exchange(options parts);

    std::string name() const override { return "peers"; }
    void run() override;
    void request_stop() override;

    /// Replaces what the next beacon says; a change of readiness is sent at once. Any thread.
    void publish(local_state state);
    void set_lease_token(std::optional<std::uint64_t> token);
    void relay(relayed_batch batch) override;
    /// Tells all nodes of a long prompt. Any thread.
    void announce(const prompt_notice& notice);
    /// Tells `listener` what peers read of a topic. Before `run` only.
    void follow(topic which, relay_listener& listener) { m_followers[which] = &listener; }
    /// Greets a node that may not be known yet. Any thread.
    void greet(const address& node);

    /// What of a beacon goes to nodes of other regions, with which traffic is paid by volume.
    static node_beacon for_other_regions(node_beacon beacon, bool relayed);

private:
    node_beacon make_beacon();
    void send_beacon(int socket, bool urgent, absl::Time now);
    void send_far(int socket, const node_beacon& beacon, bool urgent, absl::Time now);
    void send_near(int socket, const std::string& bytes) const;
    void send_relays(int socket);
    void send_notices(int socket);
    void take(int socket, const peer_message& message, absl::Time now);
    /// `direct`: from the sender itself, so that its clock can be compared.
    void take_beacon(int socket, const node_beacon& beacon, bool direct, absl::Time now);
    bool in_region(const node_beacon& beacon) const { return beacon.region == m_settings.region; }
    void receive_all(int socket, absl::Time now);
    void expire(absl::Time now);
    void tell(const node_event& event) const;
    absl::Duration interval() const;

    const node_settings& m_settings;
    const clock& m_time;
    std::vector<node_event_listener*> m_listeners;
    node_event_listener& m_prompts;
    wake_signal m_wake;
    shared_cell<local_state> m_local;
    shared_cell<std::optional<std::uint64_t>> m_lease;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_urgent = false;
    peer_table m_table;
    beacon_relay m_relay;
    clock_consensus m_clocks;
    std::int64_t m_started_us;
    std::uint64_t m_sequence = 0;
    absl::Time m_next_far = absl::InfinitePast();
    absl::Duration m_offset = absl::InfiniteDuration();
    bounded_ring<address> m_greetings;
    bounded_ring<relayed_batch> m_relays;
    bounded_ring<prompt_notice> m_notices;
    std::map<topic, relay_listener*> m_followers;
};

} // namespace chivedeal::forward

#endif
