#include "chivedeal/forward/endpoint_health.hpp"

#include <algorithm>
#include <cmath>

namespace chivedeal::forward {

namespace {

constexpr double failure_smoothing_factor = 0.1;
// An endpoint that sends no data for this long while requests wait there has probably hung. Under
// load, each endpoint completes several responses a second.
constexpr absl::Duration max_silence = absl::Seconds(1);
// One peer's report isn't enough: that peer may have lost its connection to the endpoint.
constexpr int min_silent_peers = 2;
constexpr absl::Duration refusal_pause = absl::Milliseconds(150);
constexpr absl::Duration base_pause = absl::Milliseconds(250);
constexpr absl::Duration max_pause = absl::Seconds(4);
constexpr int min_consecutive_failures = 3;
// Limits the exponential growth of an unreachable endpoint's pause.
constexpr int max_pause_doublings = 5;

} // namespace

endpoint_health::state endpoint_health::state_at(absl::Time now, absl::Time prefill_done_at) const
{
    const bool is_silent_to_peers =
        m_silent_peer_count >= min_silent_peers && now - m_last_activity > max_silence;
    if (is_silent_to_peers || is_silent_to_this_node(now, prefill_done_at))
        return state::failing;
    if (now >= m_unusable_until)
        return state::usable;
    return m_unusable_due_to_failures ? state::failing : state::paused;
}

bool endpoint_health::is_silent_to_this_node(absl::Time now, absl::Time prefill_done_at) const
{
    return m_unanswered_requests > 0 && now - m_silent_since > max_silence &&
           now - prefill_done_at > max_silence;
}

void endpoint_health::on_sent(absl::Time now)
{
    if (m_unanswered_requests++ == 0)
        m_silent_since = now;
}

void endpoint_health::on_response_started(absl::Time now)
{
    m_unanswered_requests = std::max(0, m_unanswered_requests - 1);
    on_bytes(now);
}

void endpoint_health::on_bytes(absl::Time now)
{
    m_last_activity = now;
    m_unreachable_until = absl::InfinitePast();
    m_silent_since = m_unanswered_requests > 0 ? now : absl::InfiniteFuture();
}

void endpoint_health::on_ended_without_response()
{
    m_unanswered_requests = std::max(0, m_unanswered_requests - 1);
    if (m_unanswered_requests == 0)
        m_silent_since = absl::InfiniteFuture();
}

void endpoint_health::on_outcomes(std::int64_t answered, std::int64_t failed, absl::Time now)
{
    for (std::int64_t i = 0; i < answered; ++i)
        m_failure_share *= 1 - failure_smoothing_factor;
    for (std::int64_t i = 0; i < failed; ++i)
        m_failure_share += failure_smoothing_factor * (1 - m_failure_share);
    if (answered > 0) {
        on_bytes(now);
        m_consecutive_failures = 0;
    }
    else if (failed > 0) {
        m_consecutive_failures += static_cast<int>(failed);
    }
    if (failed <= 0 || m_consecutive_failures < min_consecutive_failures)
        return;
    m_unusable_due_to_failures = true;
    m_unusable_until = now + std::min(max_pause, base_pause * m_consecutive_failures);
}

void endpoint_health::on_unreachable(absl::Time now)
{
    ++m_consecutive_failures;
    m_unusable_due_to_failures = false;
    m_unusable_until =
        now + std::min(max_pause, base_pause * std::exp2(std::min(m_consecutive_failures,
                                                                  max_pause_doublings)));
    m_unreachable_until = m_unusable_until;
}

void endpoint_health::on_refused(absl::Time now)
{
    m_unusable_until = std::max(m_unusable_until, now + refusal_pause);
}

} // namespace chivedeal::forward
