#ifndef CHIVEDEAL_CONTROL_EVIDENCE_COUNTER_HPP
#define CHIVEDEAL_CONTROL_EVIDENCE_COUNTER_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/membership/outcome_count.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace chivedeal::state {
struct cluster_state;
}

namespace chivedeal::control {

struct attempt_sample;

/// Counts this node's outcomes of the versions in open moves.
///
/// Counts are kept when a move ends, since they may only grow, and are dropped only to make room.
class evidence_counter
{
public:
    /// At most `max_keys` combinations of version, route and load band are counted; samples of
    /// further ones are dropped.
    explicit evidence_counter(node_id self, std::size_t max_keys = 1024);

    /// Counts from now on the versions of the open moves in `state`, and no others.
    void track(const state::cluster_state& state);

    void add(const attempt_sample& sample);

    /// Counts of the tracked versions.
    std::vector<membership::outcome_count> counts() const;

    std::uint64_t dropped() const { return m_dropped; }

private:
    using key = std::tuple<service_id, version_id, std::uint64_t, std::string, int>;

    bool is_tracked(const service_id& service, const version_id& version) const;

    node_id m_self;
    std::size_t m_max_keys;
    std::set<std::pair<service_id, version_id>> m_tracked;
    std::map<key, membership::outcome_count> m_counts;
    std::uint64_t m_dropped = 0;
};

} // namespace chivedeal::control

#endif
