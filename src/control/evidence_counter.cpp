#include "chivedeal/control/evidence_counter.hpp"

#include "chivedeal/control/attempt_sample.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include <utility>

namespace chivedeal::control {

evidence_counter::evidence_counter(node_id self, std::size_t max_keys)
    : m_self(std::move(self)), m_max_keys(max_keys)
{}

void evidence_counter::track(const state::cluster_state& state)
{
    m_tracked.clear();
    for (const auto& [service, move] : state.moves) {
        if (move->status != state::move_status::open)
            continue;
        m_tracked.insert({service, move->from});
        m_tracked.insert({service, move->to});
    }
}

void evidence_counter::add(const attempt_sample& sample)
{
    if (!is_tracked(sample.service, sample.version))
        return;
    const key sample_key(sample.service, sample.version, sample.declared_offset, sample.route,
                         sample.load_band);
    if (m_counts.size() >= m_max_keys && !m_counts.contains(sample_key)) {
        std::erase_if(m_counts, [this](const auto& entry) {
            return !is_tracked(entry.second.service, entry.second.version);
        });
        if (m_counts.size() >= m_max_keys) {
            ++m_dropped;
            return;
        }
    }
    membership::outcome_count& count = m_counts[sample_key];
    if (count.requests == 0)
        count = {.node = m_self,
                 .service = sample.service,
                 .version = sample.version,
                 .declared_offset = sample.declared_offset,
                 .route = sample.route,
                 .load_band = sample.load_band};
    ++count.requests;
    count.errors += sample.failed ? 1 : 0;
    count.slow += sample.slow ? 1 : 0;
}

std::vector<membership::outcome_count> evidence_counter::counts() const
{
    std::vector<membership::outcome_count> out;
    for (const auto& [counter_key, count] : m_counts)
        if (is_tracked(count.service, count.version))
            out.push_back(count);
    return out;
}

bool evidence_counter::is_tracked(const service_id& service, const version_id& version) const
{
    return m_tracked.contains({service, version});
}

} // namespace chivedeal::control
