#include "chivedeal/forward/endpoint_health.hpp"

#include <algorithm>
#include <cmath>

namespace chivedeal::forward {

namespace {

constexpr double failure_smoothing = 0.1;
// An endpoint from which nothing came for this long, though requests wait there, has probably hung.
// Under load each endpoint ends several answers a second.
constexpr absl::Duration longest_silence = absl::Seconds(1);
// Peers that have to find an endpoint silent: one may be cut off from it.
constexpr int silent_peers_needed = 2;
constexpr absl::Duration full_pause = absl::Milliseconds(150);
constexpr absl::Duration first_pause = absl::Milliseconds(250);
constexpr absl::Duration longest_pause = absl::Seconds(4);
constexpr int failures_to_pause = 3;
// Doublings of the pause of an endpoint that can't be reached.
constexpr int most_doublings = 5;

} // namespace

endpoint_health::state endpoint_health::at(absl::Time now, absl::Time read_by) const
{
    const bool silent_to_peers =
        m_silent_peers >= silent_peers_needed && now - m_last_alive > longest_silence;
    if (silent_to_peers || is_silent_here(now, read_by))
        return state::failing;
    if (now >= m_unusable_until)
        return state::usable;
    return m_failing ? state::failing : state::paused;
}

bool endpoint_health::is_silent_here(absl::Time now, absl::Time read_by) const
{
    return m_waiting > 0 && now - m_waiting_since > longest_silence &&
           now - read_by > longest_silence;
}

void endpoint_health::on_sent(absl::Time now)
{
    if (m_waiting++ == 0)
        m_waiting_since = now;
}

void endpoint_health::on_answer_begun(absl::Time now)
{
    m_waiting = std::max(0, m_waiting - 1);
    on_bytes(now);
}

void endpoint_health::on_bytes(absl::Time now)
{
    m_last_alive = now;
    m_waiting_since = m_waiting > 0 ? now : absl::InfiniteFuture();
}

void endpoint_health::on_unanswered_end()
{
    m_waiting = std::max(0, m_waiting - 1);
    if (m_waiting == 0)
        m_waiting_since = absl::InfiniteFuture();
}

void endpoint_health::on_outcomes(std::int64_t answered, std::int64_t failed, absl::Time now)
{
    for (std::int64_t i = 0; i < answered; ++i)
        m_failure_share *= 1 - failure_smoothing;
    for (std::int64_t i = 0; i < failed; ++i)
        m_failure_share += failure_smoothing * (1 - m_failure_share);
    if (answered > 0) {
        on_bytes(now);
        m_failures_in_row = 0;
    }
    else if (failed > 0) {
        m_failures_in_row += static_cast<int>(failed);
    }
    if (failed <= 0 || m_failures_in_row < failures_to_pause)
        return;
    m_failing = true;
    m_unusable_until = now + std::min(longest_pause, first_pause * m_failures_in_row);
}

void endpoint_health::on_unreachable(absl::Time now)
{
    ++m_failures_in_row;
    m_failing = false;
    m_unusable_until =
        now + std::min(longest_pause,
                       first_pause * std::exp2(std::min(m_failures_in_row, most_doublings)));
}

void endpoint_health::on_refused(absl::Time now)
{
    m_unusable_until = std::max(m_unusable_until, now + full_pause);
}

} // namespace chivedeal::forward
