#include "chivedeal/forward/peer_table.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace chivedeal::forward {

void peer_table::add_candidate(const address& candidate)
{
    if (candidate != m_options.self_address && candidate.port != 0)
        m_candidates.insert(candidate);
}

std::optional<peer_table::accepted> peer_table::on_beacon(const node_beacon& beacon, absl::Time now,
                                                          bool direct)
{
    if (beacon.node == m_options.self || beacon.peers.port == 0)
        return std::nullopt;
    accepted taken;
    const auto known = m_beacons.find(beacon.node);
    if (known == m_beacons.end()) {
        taken.is_new = true;
    }
    else {
        const bool same_process = known->second.started_us == beacon.started_us;
        if (beacon.started_us < known->second.started_us ||
            (same_process && beacon.sequence <= known->second.sequence))
            return std::nullopt;
        taken.is_new = !same_process;
        if (same_process)
            taken.before = std::make_shared<const node_beacon>(std::move(known->second));
    }
    m_beacons[beacon.node] = beacon;
    m_heard[beacon.node] = now;
    const auto silent_at = m_silent_at.try_emplace(beacon.node, now).first;
    silent_at->second =
        std::max(silent_at->second, now + (direct ? m_options.silence : m_options.relayed_silence));
    m_candidates.erase(beacon.peers);
    for (const address& one : beacon.known_peers)
        add_candidate(one);
    for (const auto& [node, one] : m_beacons)
        m_candidates.erase(one.peers);
    return taken;
}

std::vector<const node_beacon*> peer_table::heard_within(absl::Duration span, absl::Time now) const
{
    std::vector<const node_beacon*> heard;
    for (const auto& [node, at] : m_heard)
        if (now - at <= span)
            heard.push_back(&m_beacons.at(node));
    return heard;
}

std::vector<node_id> peer_table::expire(absl::Time now)
{
    std::vector<node_id> silent;
    for (const auto& [node, silent_at] : m_silent_at)
        if (now > silent_at)
            silent.push_back(node);
    for (const node_id& node : silent) {
        add_candidate(m_beacons[node].peers);
        m_beacons.erase(node);
        m_heard.erase(node);
        m_silent_at.erase(node);
    }
    return silent;
}

} // namespace chivedeal::forward
