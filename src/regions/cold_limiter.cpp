#include "chivedeal/regions/cold_limiter.hpp"

namespace chivedeal::regions {

void cold_limiter::set_share(const cold_share& share, double phase, absl::Time now)
{
    if (share == m_share)
        return;
    m_share = share;
    m_next_permit = share.period == absl::InfiniteDuration() ? absl::InfiniteFuture()
                                                             : now + share.period * phase;
}

bool cold_limiter::has_permit(absl::Time now) const
{
    return now >= m_next_permit && time_since_issue(now) < m_share.lifetime;
}

void cold_limiter::spend(absl::Time now)
{
    if (has_permit(now))
        m_next_permit = now - time_since_issue(now) + m_share.period;
}

absl::Duration cold_limiter::time_since_issue(absl::Time now) const
{
    return (now - m_next_permit) % m_share.period;
}

} // namespace chivedeal::regions
