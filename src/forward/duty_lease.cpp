#include "chivedeal/forward/duty_lease.hpp"

#include <algorithm>
#include <utility>

namespace chivedeal::forward {

namespace {

constexpr absl::Duration read_retry_interval = absl::Milliseconds(500);

} // namespace

duty_lease::duty_lease(options settings, absl::Time now)
    : m_options(std::move(settings)),
      m_last_tick(now),
      m_holder_seen_at(now),
      m_holder_timeout(m_options.stagger)
{}

duty_lease::action duty_lease::tick(absl::Time now)
{
    if (now - m_last_tick > m_options.max_tick_interval)
        m_must_read = true;
    m_last_tick = now;
    if (m_released || now < m_next_read)
        return action::none;
    if (m_held_token) {
        if (m_must_regrant && m_may_append) {
            m_may_append = false;
            m_must_read = true;
            m_next_read = now + read_retry_interval;
            return action::append;
        }
        if (!m_must_read)
            return action::none;
        m_next_read = now + read_retry_interval;
        return action::read;
    }
    if (now < m_earliest_request || now - m_holder_seen_at < m_holder_timeout)
        return action::none;
    m_next_read = now + read_retry_interval;
    if (m_may_append) {
        m_may_append = false;
        return action::append;
    }
    return action::read;
}

void duty_lease::on_read(std::optional<node_id> holder, std::uint64_t token,
                         std::uint64_t topic_end, absl::Time now)
{
    const bool is_first_read = m_must_read && !m_held_token && !m_has_highest_token;
    m_must_read = false;
    m_topic_end = topic_end;
    const bool is_newer = holder && (!m_has_highest_token || token > m_highest_token);
    if (holder) {
        m_has_highest_token = true;
        m_highest_token = std::max(m_highest_token, token);
    }
    if (m_must_regrant) {
        if (holder && *holder != m_options.self && token > *m_held_token)
            return on_fenced(now);
        m_may_append = true;
        m_next_read = now;
        return;
    }
    if (m_held_token) {
        if (!holder || token != *m_held_token)
            on_fenced(now);
        return;
    }
    const bool is_free = holder ? *holder == m_options.self : topic_end == 0;
    // The holder of a grant that is new to this node may be about to act. If the topic only held
    // grants that have expired from it, their holder may still be alive.
    if (is_first_read ? !is_free : is_newer && *holder != m_options.self)
        return record_holder_activity(now);
    if (now - m_holder_seen_at >= m_holder_timeout && now >= m_earliest_request) {
        m_may_append = true;
        m_next_read = now;
    }
}

void duty_lease::record_holder_activity(absl::Time now)
{
    m_holder_seen_at = now;
    m_holder_timeout = m_options.term + m_options.stagger;
}

void duty_lease::on_granted(std::uint64_t token, absl::Time now)
{
    m_held_token = token;
    m_must_regrant = false;
    m_has_highest_token = true;
    m_highest_token = token;
    record_holder_activity(now);
    m_must_read = false;
}

void duty_lease::on_conflict(absl::Time now)
{
    m_may_append = false;
    record_holder_activity(now);
}

void duty_lease::on_holder_beacon(std::uint64_t token, absl::Time now)
{
    if (m_held_token && token < *m_held_token)
        return;
    if (m_held_token && token > *m_held_token)
        on_fenced(now);
    if (!m_has_highest_token || token >= m_highest_token) {
        m_has_highest_token = true;
        m_highest_token = token;
        record_holder_activity(now);
    }
}

void duty_lease::on_restored()
{
    m_must_regrant = m_held_token.has_value();
    m_may_append = false;
    m_must_read = true;
    m_next_read = absl::InfinitePast();
    m_topic_end = 0;
}

void duty_lease::on_fenced(absl::Time now)
{
    m_held_token.reset();
    m_must_regrant = false;
    m_may_append = false;
    record_holder_activity(now);
    m_earliest_request = now + m_options.term;
}

std::optional<std::uint64_t> duty_lease::held_token(absl::Time now) const
{
    if (!m_held_token || m_must_regrant || m_must_read ||
        now - m_last_tick > m_options.max_tick_interval)
        return std::nullopt;
    return m_held_token;
}

} // namespace chivedeal::forward
