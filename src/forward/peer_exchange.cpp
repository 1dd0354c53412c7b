#include "chivedeal/forward/peer_exchange.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/era/epoch_register.hpp"
#include "chivedeal/forward/batch_listener.hpp"
#include "chivedeal/forward/node_event.hpp"
#include "chivedeal/forward/node_event_listener.hpp"
#include "chivedeal/forward/sockets.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <memory>
#include <stdexcept>
#include <utility>

namespace chivedeal::forward {

namespace {

// The nodes of a region share its endpoints. An endpoint processes a prompt in a fraction of a
// second, so load reports have to be more recent than that.
constexpr absl::Duration region_beacon_interval = absl::Milliseconds(100);
constexpr absl::Duration region_beacon_interval_per_peer = absl::Milliseconds(12);
constexpr absl::Duration cross_region_beacon_interval = absl::Milliseconds(500);
// A node of another region that was silent for longer isn't used as a relay.
constexpr absl::Duration max_relay_silence = absl::Milliseconds(1500);
// Other regions receive only the current usage window and the one that is reported next. With many
// workspaces, usage makes up half of a beacon.
constexpr std::size_t max_cross_region_usage_windows = 2;
constexpr std::size_t max_datagram_bytes = 64 * 1024;
// Limits the datagrams that are processed before beacons are due again.
constexpr int max_datagrams_per_turn = 1024;
// With more peers than this, notices of long prompts are sent only within the region: their number
// grows with the number of nodes, and each is sent to all.
constexpr std::size_t max_peers_for_global_notices = 128;
// Each beacon lists this many peers, in rotation, so that every node discovers all others.
constexpr std::size_t known_peers_per_beacon = 4;
constexpr absl::Duration min_offset_change = absl::Milliseconds(20);
constexpr absl::Duration max_clock_read_time = absl::Milliseconds(5);

} // namespace

peer_exchange::peer_exchange(options parts)
    : m_settings(parts.settings),
      m_time(parts.time),
      m_listeners(std::move(parts.listeners)),
      m_prompt_listener(parts.prompt_listener),
      m_local_state(std::make_shared<const local_state>()),
      m_lease_token(std::make_shared<const std::optional<std::uint64_t>>()),
      m_planned_reports(std::make_shared<const std::vector<era::planned_report>>()),
      m_recent_reports(std::make_shared<const std::vector<era::planned_report>>()),
      m_decided_rollouts(std::make_shared<const std::vector<rollout_status>>()),
      m_epochs(parts.epochs),
      m_table({.self = parts.settings.node, .self_address = parts.settings.peers}),
      m_relay({.region = parts.settings.region}),
      m_started_us(absl::ToUnixMicros(parts.time.wall_now())),
      m_new_candidates(256),
      m_outgoing_batches(64),
      m_outgoing_notices(256)
{
    for (const address& seed : m_settings.seeds)
        m_table.add_candidate(seed);
}

void peer_exchange::publish(local_state state, bool urgent)
{
    const auto previous = m_local_state.load();
    const bool availability_changed =
        previous->ready != state.ready || previous->leaving != state.leaving;
    m_local_state.store(std::make_shared<const local_state>(std::move(state)));
    if (urgent || availability_changed) {
        m_urgent = true;
        m_wake.raise();
    }
}

void peer_exchange::set_lease_token(std::optional<std::uint64_t> token)
{
    const bool is_new_token = token && *m_lease_token.load() != token;
    m_lease_token.store(std::make_shared<const std::optional<std::uint64_t>>(token));
    if (is_new_token) {
        m_urgent = true;
        m_wake.raise();
    }
}

void peer_exchange::set_planned_reports(std::vector<era::planned_report> about_to_send,
                                        std::vector<era::planned_report> recent)
{
    const bool has_news = !about_to_send.empty() && *m_planned_reports.load() != about_to_send;
    m_planned_reports.store(
        std::make_shared<const std::vector<era::planned_report>>(std::move(about_to_send)));
    m_recent_reports.store(
        std::make_shared<const std::vector<era::planned_report>>(std::move(recent)));
    if (has_news) {
        m_urgent = true;
        m_wake.raise();
    }
}

void peer_exchange::set_decided_rollouts(std::vector<rollout_status> decided)
{
    const auto previous = m_decided_rollouts.load();
    if (decided == *previous)
        return;
    const bool has_news = decided.size() >= previous->size();
    m_decided_rollouts.store(
        std::make_shared<const std::vector<rollout_status>>(std::move(decided)));
    if (has_news) {
        m_urgent = true;
        m_wake.raise();
    }
}

void peer_exchange::add_candidate(const address& node) { (void)m_new_candidates.try_push(node); }

void peer_exchange::relay(relayed_batch batch)
{
    // Peers handle a batch that is dropped here like a lost datagram: they read the topic
    // themselves.
    if (m_outgoing_batches.try_push(std::move(batch)))
        m_wake.raise();
}

void peer_exchange::send_prompt_notice(const prompt_notice& notice)
{
    // If the notice is dropped, the next beacon reports the load.
    if (m_outgoing_notices.try_push(notice))
        m_wake.raise();
}

void peer_exchange::run()
{
    const auto bound = bind_udp(m_settings.peers);
    if (!is_ok(bound))
        throw std::runtime_error(get_error(bound).message);
    const int socket = get_value(bound);
    absl::Time next_send = m_time.now();
    while (!m_stopping) {
        std::array<pollfd, 2> descriptors{
            pollfd{.fd = socket, .events = POLLIN, .revents = 0},
            pollfd{.fd = m_wake.descriptor(), .events = POLLIN, .revents = 0}};
        const absl::Duration remaining = std::max(absl::ZeroDuration(), next_send - m_time.now());
        poll(descriptors.data(), descriptors.size(),
             static_cast<int>(absl::ToInt64Milliseconds(remaining)) + 1);
        const absl::Time now = m_time.now();
        if ((descriptors[1].revents & POLLIN) != 0)
            m_wake.clear();
        if ((descriptors[0].revents & POLLIN) != 0)
            receive_all(socket, now);
        send_batches(socket);
        send_notices(socket);
        const bool urgent = m_urgent.exchange(false);
        if (urgent || now >= next_send) {
            send_beacon(socket, urgent, now);
            expire_peers_and_update_time(now);
            next_send = now + beacon_interval();
        }
    }
    ::close(socket);
}

void peer_exchange::request_stop()
{
    m_stopping = true;
    m_wake.raise();
}

absl::Duration peer_exchange::beacon_interval() const
{
    std::int64_t region_peers = 0;
    for (const auto& [node, peer] : m_table.beacons())
        region_peers += is_in_own_region(peer) ? 1 : 0;
    return std::max(region_beacon_interval, region_beacon_interval_per_peer * region_peers);
}

node_beacon peer_exchange::make_beacon()
{
    const auto local = m_local_state.load();
    node_beacon beacon{.node = m_settings.node,
                       .started_us = m_started_us,
                       .sequence = ++m_sequence,
                       .front_address = m_settings.front,
                       .peer_address = m_settings.peers,
                       .region = m_settings.region,
                       .ready = local->ready,
                       .leaving = local->leaving,
                       .wall_us = absl::ToUnixMicros(m_time.wall_now()),
                       .lease_token = *m_lease_token.load(),
                       .admitted = local->admitted,
                       .loads = local->loads,
                       .requested_prompt_tokens = local->requested_prompt_tokens,
                       .outcomes = local->outcomes,
                       .usage = local->usage,
                       .suspicions = local->suspicions,
                       .store_epoch = m_epochs != nullptr ? m_epochs->newest() : 0,
                       .planned_reports = *m_planned_reports.load(),
                       .decided_rollouts = *m_decided_rollouts.load()};
    std::vector<address> known_addresses;
    for (const auto& [node, peer] : m_table.beacons())
        known_addresses.push_back(peer.peer_address);
    for (std::size_t i = 0; i < std::min(known_peers_per_beacon, known_addresses.size()); ++i)
        beacon.known_peers.push_back(
            known_addresses[(m_sequence * known_peers_per_beacon + i) % known_addresses.size()]);
    return beacon;
}

node_beacon peer_exchange::make_reply()
{
    node_beacon beacon = make_beacon();
    beacon.quota_levels = m_local_state.load()->quota_levels;
    beacon.planned_reports = *m_recent_reports.load();
    return beacon;
}

node_beacon peer_exchange::trim_for_other_regions(node_beacon beacon, bool relayed)
{
    // Relayed beacons arrive too late to show which endpoint is processing a prompt, but early
    // enough to show which endpoints fail.
    if (relayed) {
        std::vector<endpoint_load> failing;
        for (const endpoint_load& load : beacon.loads)
            if (load.failed > 0 || load.is_silent)
                failing.push_back({.endpoint = load.endpoint,
                                   .answered = load.answered,
                                   .failed = load.failed,
                                   .is_silent = load.is_silent});
        beacon.loads.swap(failing);
    }
    if (beacon.usage.size() > max_cross_region_usage_windows)
        beacon.usage.erase(beacon.usage.begin(),
                           beacon.usage.end() - max_cross_region_usage_windows);
    return beacon;
}

void peer_exchange::send_beacon(int socket, bool urgent, absl::Time now)
{
    while (const auto candidate = m_new_candidates.pop(absl::ZeroDuration()))
        m_table.add_candidate(*candidate);
    const node_beacon beacon = make_beacon();
    // Send errors are ignored: the next beacon replaces a lost one.
    send_to_region(socket, encode_message(beacon));
    std::vector<node_beacon> relayed_beacons = m_relay.take_pending();
    if (!relayed_beacons.empty())
        send_to_region(socket, encode_message(beacon_bundle{std::move(relayed_beacons)}));
    send_to_other_regions(socket, beacon, urgent, now);
}

void peer_exchange::send_to_other_regions(int socket, const node_beacon& beacon, bool urgent,
                                          absl::Time now)
{
    const bool relayed = m_relay.should_relay(m_table.beacons().size());
    node_beacon trimmed = trim_for_other_regions(beacon, relayed);
    const std::string encoded = encode_message(trimmed);
    for (const address& target : m_relay.next_candidates(m_table.candidates()))
        (void)send_datagram(socket, target, encoded.data(), encoded.size());
    if (now < m_next_cross_region_send && !urgent && !beacon.leaving)
        return;
    m_next_cross_region_send = now + cross_region_beacon_interval;
    // Beacons that must not be delayed or lost are sent directly to all nodes.
    const bool direct = !relayed || urgent || beacon.leaving || beacon.lease_token;
    const beacon_relay::targets targets = m_relay.cross_region_targets(
        m_table.heard_within(direct ? absl::InfiniteDuration() : max_relay_silence, now), direct);
    for (const address& target : targets.direct)
        (void)send_datagram(socket, target, encoded.data(), encoded.size());
    if (targets.relays.empty())
        return;
    trimmed.relay_in_region = true;
    const std::string encoded_for_relay = encode_message(trimmed);
    for (const address& target : targets.relays)
        (void)send_datagram(socket, target, encoded_for_relay.data(), encoded_for_relay.size());
}

void peer_exchange::send_to_region(int socket, const std::string& bytes) const
{
    for (const auto& [node, peer] : m_table.beacons())
        if (is_in_own_region(peer))
            (void)send_datagram(socket, peer.peer_address, bytes.data(), bytes.size());
}

void peer_exchange::send_batches(int socket)
{
    while (auto batch = m_outgoing_batches.pop(absl::ZeroDuration()))
        send_to_region(socket, encode_message(*batch));
}

void peer_exchange::send_notices(int socket)
{
    const bool to_all = m_table.beacons().size() <= max_peers_for_global_notices;
    while (const auto notice = m_outgoing_notices.pop(absl::ZeroDuration())) {
        const std::string bytes = encode_message(*notice);
        for (const auto& [node, peer] : m_table.beacons())
            if (to_all || is_in_own_region(peer))
                (void)send_datagram(socket, peer.peer_address, bytes.data(), bytes.size());
    }
}

void peer_exchange::receive_all(int socket, absl::Time now)
{
    std::string buffer(max_datagram_bytes, '\0');
    for (int received = 0; received < max_datagrams_per_turn; ++received) {
        const ssize_t size = recv(socket, buffer.data(), buffer.size(), 0);
        if (size < 0)
            return;
        const auto decoded = decode_message(buffer.substr(0, static_cast<std::size_t>(size)));
        if (!is_ok(decoded)) {
            log_event(event_id::record_rejected,
                      {{"topic", "datagram"}, {"reason", get_error(decoded).message}});
            continue;
        }
        dispatch(socket, get_value(decoded), now);
    }
}

void peer_exchange::dispatch(int socket, const peer_message& message, absl::Time now)
{
    if (const auto* beacon = std::get_if<node_beacon>(&message)) {
        if (beacon->relay_in_region)
            m_relay.enqueue(*beacon);
        handle_beacon(socket, *beacon, true, now);
    }
    else if (const auto* bundle = std::get_if<beacon_bundle>(&message)) {
        for (const node_beacon& bundled : bundle->beacons)
            handle_beacon(socket, bundled, false, now);
    }
    else if (const auto* notice = std::get_if<prompt_notice>(&message)) {
        m_prompt_listener.on_event({node_event::prompt_noticed{*notice}});
    }
    else if (const auto* batch = std::get_if<relayed_batch>(&message)) {
        const auto listener = m_batch_listeners.find(batch->from);
        if (listener != m_batch_listeners.end())
            listener->second->on_relay(*batch);
    }
}

void peer_exchange::handle_beacon(int socket, const node_beacon& beacon, bool direct,
                                  absl::Time now)
{
    if (m_epochs != nullptr)
        m_epochs->note(beacon.store_epoch);
    const auto accepted = m_table.on_beacon(beacon, now, direct);
    if (!accepted)
        return;
    if (direct)
        m_clocks.observe(beacon.node, absl::FromUnixMicros(beacon.wall_us), now);
    if (accepted->is_new) {
        log_event(event_id::peer_joined,
                  {{"peer", beacon.node.str()}, {"address", to_string(beacon.peer_address)}});
        // Answers a new peer at once, so that it doesn't wait for the next beacon.
        const node_beacon own = make_reply();
        const std::string bytes =
            encode_message(is_in_own_region(beacon) ? own : trim_for_other_regions(own, true));
        (void)send_datagram(socket, beacon.peer_address, bytes.data(), bytes.size());
    }
    notify_listeners(
        {node_event::peer_heard{std::make_shared<const node_beacon>(beacon), accepted->previous}});
}

void peer_exchange::expire_peers_and_update_time(absl::Time now)
{
    for (const node_id& node : m_table.expire(now)) {
        m_clocks.forget(node);
        log_event(event_id::peer_dead, {{"peer", node.str()}});
        notify_listeners({node_event::peer_lost{node}});
    }
    // The readings are discarded if the thread was preempted between them.
    const absl::Time before = m_time.now();
    const absl::Time wall = m_time.wall_now();
    const absl::Time after = m_time.now();
    if (after - before > max_clock_read_time)
        return;
    const absl::Duration offset = m_clocks.true_time(wall, after) - after;
    const absl::Duration change =
        offset > m_published_offset ? offset - m_published_offset : m_published_offset - offset;
    if (change < min_offset_change)
        return;
    m_published_offset = offset;
    notify_listeners({node_event::wall_clock_offset_changed{offset}});
}

void peer_exchange::notify_listeners(const node_event& event) const
{
    for (node_event_listener* listener : m_listeners)
        listener->on_event(event);
}

} // namespace chivedeal::forward
