#include "chivedeal/forward/demand_meter.hpp"

#include <algorithm>

namespace chivedeal::forward {

namespace {

// Long enough to smooth single large prompts, short enough to follow a burst.
constexpr absl::Duration averaging_window = absl::Seconds(4);

} // namespace

void demand_meter::on_counts(const std::string& process,
                             const std::map<service_id, std::int64_t>& requested_tokens,
                             absl::Time now)
{
    m_first_heard_at = std::min(m_first_heard_at, now);
    const auto previous = m_last_counts.find(process);
    if (previous != m_last_counts.end())
        for (const auto& [service, tokens] : requested_tokens) {
            const auto previous_tokens = previous->second.find(service);
            const std::int64_t added_tokens =
                tokens - (previous_tokens == previous->second.end() ? 0 : previous_tokens->second);
            auto& samples = m_added_tokens[service];
            samples[now] += added_tokens;
            while (samples.begin()->first < now - averaging_window)
                samples.erase(samples.begin());
        }
    m_last_counts[process] = requested_tokens;
}

bool demand_meter::covers_averaging_window(absl::Time now) const
{
    return now - m_first_heard_at >= averaging_window;
}

double demand_meter::tokens_per_second(const service_id& service, absl::Time now) const
{
    const auto found = m_added_tokens.find(service);
    if (found == m_added_tokens.end())
        return 0;
    std::int64_t sum = 0;
    for (const auto& [at, tokens] : found->second)
        sum += at >= now - averaging_window ? tokens : 0;
    return static_cast<double>(sum) / absl::ToDoubleSeconds(averaging_window);
}

} // namespace chivedeal::forward
