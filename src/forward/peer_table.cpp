#include "chivedeal/forward/peer_table.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace chivedeal::forward {

void peer_table::add_candidate(const address& candidate)
{
    if (candidate != m_options.self_address && candidate.port != 0 &&
        m_candidates.size() < m_options.max_peers)
        m_candidates.insert(candidate);
}

std::optional<peer_table::accepted> peer_table::on_beacon(const node_beacon& beacon, absl::Time now,
                                                          bool direct)
{
    if (beacon.node == m_options.self || beacon.peer_address.port == 0)
        return std::nullopt;
    accepted outcome;
    const auto known = m_beacons.find(beacon.node);
    if (known == m_beacons.end()) {
        if (m_beacons.size() >= m_options.max_peers)
            return std::nullopt;
        outcome.is_new = true;
    }
    else {
        const bool same_process = known->second.started_us == beacon.started_us;
        if (beacon.started_us < known->second.started_us ||
            (same_process && beacon.sequence <= known->second.sequence))
            return std::nullopt;
        outcome.is_new = !same_process;
        if (same_process)
            outcome.previous = std::make_shared<const node_beacon>(std::move(known->second));
    }
    m_beacons[beacon.node] = beacon;
    m_last_heard[beacon.node] = now;
    const auto expires_at = m_expires_at.try_emplace(beacon.node, now).first;
    expires_at->second = std::max(
        expires_at->second, now + (direct ? m_options.max_silence : m_options.max_relayed_silence));
    m_candidates.erase(beacon.peer_address);
    for (const address& known_peer : beacon.known_peers)
        add_candidate(known_peer);
    for (const auto& [node, peer] : m_beacons)
        m_candidates.erase(peer.peer_address);
    return outcome;
}

std::vector<const node_beacon*> peer_table::heard_within(absl::Duration span, absl::Time now) const
{
    std::vector<const node_beacon*> heard;
    for (const auto& [node, last_heard] : m_last_heard)
        if (now - last_heard <= span)
            heard.push_back(&m_beacons.at(node));
    return heard;
}

std::vector<node_id> peer_table::expire(absl::Time now)
{
    std::vector<node_id> silent;
    for (const auto& [node, expires_at] : m_expires_at)
        if (now > expires_at)
            silent.push_back(node);
    for (const node_id& node : silent) {
        add_candidate(m_beacons[node].peer_address);
        m_beacons.erase(node);
        m_last_heard.erase(node);
        m_expires_at.erase(node);
    }
    return silent;
}

} // namespace chivedeal::forward
