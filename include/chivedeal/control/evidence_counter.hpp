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

/// Counts the outcomes that this node sees for the versions in open moves.
///
/// Published counts must never decrease, so the counts of a finished move are kept until their
/// space is needed.
class evidence_counter
{
public:
    /// Counts at most `max_keys` combinations of version, route and load band; samples of any
    /// further combination are dropped.
    explicit evidence_counter(node_id self, std::size_t max_keys = 1024);

    /// Sets the tracked versions to those of the open moves in `state`.
    void track(const state::cluster_state& state);

    void add(const attempt_sample& sample);

    /// Returns the counts of the tracked versions.
    std::vector<membership::outcome_count> counts() const;

    /// Number of samples dropped because `max_keys` was reached.
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
