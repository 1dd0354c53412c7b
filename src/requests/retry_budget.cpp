#include "chivedeal/requests/retry_budget.hpp"

#include "chivedeal/core/mechanism.hpp"

#include <cmath>

namespace chivedeal::requests {

retry_budget::retry_budget() : retry_budget(options{}) {}

retry_budget::retry_budget(options tunables) : m_options(tunables) {}

void retry_budget::on_first_attempt(absl::Time now)
{
    decay(now);
    m_first_attempts += 1;
}

bool retry_budget::try_spend(absl::Time now)
{
    decay(now);
    const double allowed = m_options.min_retries + m_options.ratio * m_first_attempts;
    if (m_retries + 1 > allowed && is_enabled(mechanism::retry_budget))
        return false;
    m_retries += 1;
    return true;
}

void retry_budget::decay(absl::Time now)
{
    if (m_updated == absl::InfinitePast())
        m_updated = now;
    if (now <= m_updated)
        return;
    const double decay_factor = std::exp(-absl::FDivDuration(now - m_updated, m_options.window));
    m_first_attempts *= decay_factor;
    m_retries *= decay_factor;
    m_updated = now;
}

} // namespace chivedeal::requests
