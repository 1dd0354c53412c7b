#include "chivedeal/forward/demand_meter.hpp"

#include <algorithm>

namespace chivedeal::forward {

namespace {

// Long enough to smooth single large prompts, short enough to follow a burst.
constexpr absl::Duration span = absl::Seconds(4);

} // namespace

void demand_meter::on_counts(const std::string& process,
                             const std::map<service_id, std::int64_t>& asked_tokens, absl::Time now)
{
    m_since = std::min(m_since, now);
    const auto known = m_last.find(process);
    if (known != m_last.end())
        for (const auto& [service, tokens] : asked_tokens) {
            const auto before = known->second.find(service);
            const std::int64_t added =
                tokens - (before == known->second.end() ? 0 : before->second);
            auto& samples = m_added[service];
            samples[now] += added;
            while (samples.begin()->first < now - span)
                samples.erase(samples.begin());
        }
    m_last[process] = asked_tokens;
}

bool demand_meter::covers_span(absl::Time now) const { return now - m_since >= span; }

double demand_meter::tokens_per_second(const service_id& service, absl::Time now) const
{
    const auto found = m_added.find(service);
    if (found == m_added.end())
        return 0;
    std::int64_t sum = 0;
    for (const auto& [at, tokens] : found->second)
        sum += at >= now - span ? tokens : 0;
    return static_cast<double>(sum) / absl::ToDoubleSeconds(span);
}

} // namespace chivedeal::forward
