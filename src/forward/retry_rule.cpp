#include "chivedeal/forward/retry_rule.hpp"

namespace chivedeal::forward {

void retry_rule::on_outcome(attempt_outcome outcome)
{
    if (outcome == attempt_outcome::refused || outcome == attempt_outcome::wrong_endpoint)
        ++m_known_not_run;
}

bool retry_rule::may_retry() const
{
    if (may_have_run())
        return m_options.may_repeat && m_attempts_sent < m_options.max_attempts;
    return m_attempts_sent < m_options.max_attempts;
}

} // namespace chivedeal::forward
