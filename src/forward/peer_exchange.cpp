#include "chivedeal/forward/peer_exchange.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/forward/node_event.hpp"
#include "chivedeal/forward/node_event_listener.hpp"
#include "chivedeal/forward/relay_listener.hpp"
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

// Endpoints of a region are shared by its nodes: prompts take a fraction of a second to read, so
// news of them has to be younger than that.
constexpr absl::Duration near_interval = absl::Milliseconds(100);
constexpr absl::Duration near_interval_a_peer = absl::Milliseconds(12);
constexpr absl::Duration far_interval = absl::Milliseconds(500);
// A node of another region that was silent for longer isn't asked to pass a beacon on.
constexpr absl::Duration relay_freshness = absl::Milliseconds(1500);
// Windows of usage told to other regions: the current one and that which is reported next. They are
// half of a beacon where there are many workspaces.
constexpr std::size_t far_windows = 2;
constexpr std::size_t most_datagram = 64 * 1024;
// With more peers than this only the own region is told of long prompts: their number grows with
// that of the nodes, and each goes to all.
constexpr std::size_t most_noticed = 128;
// Peers named in each beacon, in turn, so that each node hears of all others.
constexpr std::size_t named_peers = 4;
constexpr absl::Duration offset_step = absl::Milliseconds(20);
constexpr absl::Duration longest_reading = absl::Milliseconds(5);

} // namespace

peer_exchange::peer_exchange(options parts)
    : m_settings(parts.settings),
      m_time(parts.time),
      m_listeners(std::move(parts.listeners)),
      m_prompts(parts.prompts),
      m_local(std::make_shared<const local_state>()),
      m_lease(std::make_shared<const std::optional<std::uint64_t>>()),
      m_table({.self = parts.settings.node, .self_address = parts.settings.peers}),
      m_relay({.region = parts.settings.region}),
      m_started_us(absl::ToUnixMicros(parts.time.wall_now())),
      m_greetings(256),
      m_relays(64),
      m_notices(256)
{
    for (const address& seed : m_settings.seeds)
        m_table.add_candidate(seed);
}

void peer_exchange::publish(local_state state)
{
    const auto before = m_local.load();
    const bool urgent = before->ready != state.ready || before->leaving != state.leaving;
    m_local.store(std::make_shared<const local_state>(std::move(state)));
    if (urgent) {
        m_urgent = true;
        m_wake.raise();
    }
}

void peer_exchange::set_lease_token(std::optional<std::uint64_t> token)
{
    const bool is_news = token && *m_lease.load() != token;
    m_lease.store(std::make_shared<const std::optional<std::uint64_t>>(token));
    if (is_news) {
        m_urgent = true;
        m_wake.raise();
    }
}

void peer_exchange::greet(const address& node) { (void)m_greetings.try_push(node); }

void peer_exchange::relay(relayed_batch batch)
{
    // A batch that is dropped here is missed by peers as a lost datagram is.
    if (m_relays.try_push(std::move(batch)))
        m_wake.raise();
}

void peer_exchange::announce(const prompt_notice& notice)
{
    // One that is dropped is made up for by the next beacon.
    if (m_notices.try_push(notice))
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
        std::array<pollfd, 2> waiting{
            pollfd{.fd = socket, .events = POLLIN, .revents = 0},
            pollfd{.fd = m_wake.descriptor(), .events = POLLIN, .revents = 0}};
        const absl::Duration left = std::max(absl::ZeroDuration(), next_send - m_time.now());
        poll(waiting.data(), waiting.size(), static_cast<int>(absl::ToInt64Milliseconds(left)) + 1);
        const absl::Time now = m_time.now();
        if ((waiting[1].revents & POLLIN) != 0)
            m_wake.clear();
        if ((waiting[0].revents & POLLIN) != 0)
            receive_all(socket, now);
        send_relays(socket);
        send_notices(socket);
        const bool urgent = m_urgent.exchange(false);
        if (urgent || now >= next_send) {
            send_beacon(socket, urgent, now);
            expire(now);
            next_send = now + interval();
        }
    }
    ::close(socket);
}

void peer_exchange::request_stop()
{
    m_stopping = true;
    m_wake.raise();
}

absl::Duration peer_exchange::interval() const
{
    std::int64_t near = 0;
    for (const auto& [node, peer] : m_table.beacons())
        near += in_region(peer) ? 1 : 0;
    return std::max(near_interval, near_interval_a_peer * near);
}

node_beacon peer_exchange::make_beacon()
{
    const auto local = m_local.load();
    node_beacon beacon{.node = m_settings.node,
                       .started_us = m_started_us,
                       .sequence = ++m_sequence,
                       .front = m_settings.front,
                       .peers = m_settings.peers,
                       .region = m_settings.region,
                       .ready = local->ready,
                       .leaving = local->leaving,
                       .wall_us = absl::ToUnixMicros(m_time.wall_now()),
                       .lease_token = *m_lease.load(),
                       .admitted = local->admitted,
                       .loads = local->loads,
                       .asked_tokens = local->asked_tokens,
                       .outcomes = local->outcomes,
                       .usage = local->usage};
    std::vector<address> known;
    for (const auto& [node, one] : m_table.beacons())
        known.push_back(one.peers);
    for (std::size_t i = 0; i < std::min(named_peers, known.size()); ++i)
        beacon.known_peers.push_back(known[(m_sequence * named_peers + i) % known.size()]);
    return beacon;
}

node_beacon peer_exchange::for_other_regions(node_beacon beacon, bool relayed)
{
    // What is passed on comes too late to tell which endpoint reads a prompt now, but not which fails.
    if (relayed) {
        std::vector<endpoint_load> failing;
        for (const endpoint_load& one : beacon.loads)
            if (one.failed > 0 || one.is_silent)
                failing.push_back({.endpoint = one.endpoint,
                                   .answered = one.answered,
                                   .failed = one.failed,
                                   .is_silent = one.is_silent});
        beacon.loads.swap(failing);
    }
    if (beacon.usage.size() > far_windows)
        beacon.usage.erase(beacon.usage.begin(), beacon.usage.end() - far_windows);
    return beacon;
}

void peer_exchange::send_beacon(int socket, bool urgent, absl::Time now)
{
    while (const auto greeted = m_greetings.pop(absl::ZeroDuration()))
        m_table.add_candidate(*greeted);
    const node_beacon beacon = make_beacon();
    // A lost datagram is made up for by the next one.
    send_near(socket, encode_message(beacon));
    std::vector<node_beacon> passed_on = m_relay.take_passed_on();
    if (!passed_on.empty())
        send_near(socket, encode_message(beacon_bundle{std::move(passed_on)}));
    send_far(socket, beacon, urgent, now);
}

void peer_exchange::send_far(int socket, const node_beacon& beacon, bool urgent, absl::Time now)
{
    const bool relayed = m_relay.is_relayed(m_table.beacons().size());
    node_beacon for_others = for_other_regions(beacon, relayed);
    const std::string far = encode_message(for_others);
    for (const address& target : m_relay.next_candidates(m_table.candidates()))
        (void)send_datagram(socket, target, far.data(), far.size());
    if (now < m_next_far && !urgent && !beacon.leaving)
        return;
    m_next_far = now + far_interval;
    // News that must not wait or get lost goes to all.
    const bool direct = !relayed || urgent || beacon.leaving || beacon.lease_token;
    const beacon_relay::targets targets = m_relay.far_targets(
        m_table.heard_within(direct ? absl::InfiniteDuration() : relay_freshness, now), direct);
    for (const address& target : targets.direct)
        (void)send_datagram(socket, target, far.data(), far.size());
    if (targets.relays.empty())
        return;
    for_others.pass_on = true;
    const std::string passed_on = encode_message(for_others);
    for (const address& target : targets.relays)
        (void)send_datagram(socket, target, passed_on.data(), passed_on.size());
}

void peer_exchange::send_near(int socket, const std::string& bytes) const
{
    for (const auto& [node, peer] : m_table.beacons())
        if (in_region(peer))
            (void)send_datagram(socket, peer.peers, bytes.data(), bytes.size());
}

void peer_exchange::send_relays(int socket)
{
    while (auto batch = m_relays.pop(absl::ZeroDuration()))
        send_near(socket, encode_message(*batch));
}

void peer_exchange::send_notices(int socket)
{
    const bool to_all = m_table.beacons().size() <= most_noticed;
    while (const auto notice = m_notices.pop(absl::ZeroDuration())) {
        const std::string bytes = encode_message(*notice);
        for (const auto& [node, peer] : m_table.beacons())
            if (to_all || in_region(peer))
                (void)send_datagram(socket, peer.peers, bytes.data(), bytes.size());
    }
}

void peer_exchange::receive_all(int socket, absl::Time now)
{
    std::string buffer(most_datagram, '\0');
    while (true) {
        const ssize_t size = recv(socket, buffer.data(), buffer.size(), 0);
        if (size < 0)
            return;
        const auto decoded = decode_message(buffer.substr(0, static_cast<std::size_t>(size)));
        if (!is_ok(decoded)) {
            log_event(event_id::record_rejected,
                      {{"topic", "datagram"}, {"reason", get_error(decoded).message}});
            continue;
        }
        take(socket, get_value(decoded), now);
    }
}

void peer_exchange::take(int socket, const peer_message& message, absl::Time now)
{
    if (const auto* beacon = std::get_if<node_beacon>(&message)) {
        if (beacon->pass_on)
            m_relay.pass_on(*beacon);
        take_beacon(socket, *beacon, true, now);
    }
    else if (const auto* bundle = std::get_if<beacon_bundle>(&message)) {
        for (const node_beacon& one : bundle->beacons)
            take_beacon(socket, one, false, now);
    }
    else if (const auto* notice = std::get_if<prompt_notice>(&message)) {
        m_prompts.on_event({node_event::prompt_noticed{*notice}});
    }
    else if (const auto* batch = std::get_if<relayed_batch>(&message)) {
        const auto follower = m_followers.find(batch->from);
        if (follower != m_followers.end())
            follower->second->on_relay(*batch);
    }
}

void peer_exchange::take_beacon(int socket, const node_beacon& beacon, bool direct, absl::Time now)
{
    const auto accepted = m_table.on_beacon(beacon, now, direct);
    if (!accepted)
        return;
    if (direct)
        m_clocks.observe(beacon.node, absl::FromUnixMicros(beacon.wall_us), now);
    if (accepted->is_new) {
        log_event(event_id::peer_joined,
                  {{"peer", beacon.node.str()}, {"address", to_string(beacon.peers)}});
        // Answers a newcomer at once, so that it doesn't wait for the next interval.
        const node_beacon own = make_beacon();
        const std::string bytes =
            encode_message(in_region(beacon) ? own : for_other_regions(own, true));
        (void)send_datagram(socket, beacon.peers, bytes.data(), bytes.size());
    }
    tell({node_event::peer_heard{std::make_shared<const node_beacon>(beacon), accepted->before}});
}

void peer_exchange::expire(absl::Time now)
{
    for (const node_id& node : m_table.expire(now)) {
        m_clocks.forget(node);
        log_event(event_id::peer_dead, {{"peer", node.str()}});
        tell({node_event::peer_lost{node}});
    }
    // The two clocks are read within a moment, or not used: a thread may lose its turn in between.
    const absl::Time before = m_time.now();
    const absl::Time wall = m_time.wall_now();
    const absl::Time after = m_time.now();
    if (after - before > longest_reading)
        return;
    const absl::Duration offset = m_clocks.true_time(wall, after) - after;
    const absl::Duration change = offset > m_offset ? offset - m_offset : m_offset - offset;
    if (change < offset_step)
        return;
    m_offset = offset;
    tell({node_event::true_time_changed{offset}});
}

void peer_exchange::tell(const node_event& event) const
{
    for (node_event_listener* one : m_listeners)
        one->on_event(event);
}

} // namespace chivedeal::forward
