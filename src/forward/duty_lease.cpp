#include "chivedeal/forward/duty_lease.hpp"

#include <algorithm>
#include <utility>

namespace chivedeal::forward {

namespace {

constexpr absl::Duration read_retry = absl::Milliseconds(500);

} // namespace

duty_lease::duty_lease(options settings, absl::Time now)
    : m_options(std::move(settings)),
      m_last_tick(now),
      m_holder_seen(now),
      m_patience(m_options.stagger)
{}

duty_lease::step duty_lease::tick(absl::Time now)
{
    if (now - m_last_tick > m_options.longest_pause)
        m_must_read = true;
    m_last_tick = now;
    if (m_released || now < m_next_read)
        return step::none;
    if (m_held) {
        if (!m_must_read)
            return step::none;
        m_next_read = now + read_retry;
        return step::read;
    }
    if (now < m_not_before || now - m_holder_seen < m_patience)
        return step::none;
    m_next_read = now + read_retry;
    if (m_may_append) {
        m_may_append = false;
        return step::append;
    }
    return step::read;
}

void duty_lease::on_read(std::optional<node_id> holder, std::uint64_t token, std::uint64_t end,
                         absl::Time now)
{
    const bool is_first_read = m_must_read && !m_held && !m_has_highest;
    m_must_read = false;
    m_end = end;
    const bool newer = holder && (!m_has_highest || token > m_highest_token);
    if (holder) {
        m_has_highest = true;
        m_highest_token = std::max(m_highest_token, token);
    }
    if (m_held) {
        if (!holder || token != *m_held)
            on_fenced(now);
        return;
    }
    const bool is_free = holder ? *holder == m_options.self : end == 0;
    // A grant that this node has not seen yet has a holder that may be about to act, and grants
    // that have expired may have one.
    if (is_first_read ? !is_free : newer && *holder != m_options.self)
        return note_holder(now);
    if (now - m_holder_seen >= m_patience && now >= m_not_before) {
        m_may_append = true;
        m_next_read = now;
    }
}

void duty_lease::note_holder(absl::Time now)
{
    m_holder_seen = now;
    m_patience = m_options.term + m_options.stagger;
}

void duty_lease::on_granted(std::uint64_t token, absl::Time now)
{
    m_held = token;
    m_has_highest = true;
    m_highest_token = token;
    note_holder(now);
    m_must_read = false;
}

void duty_lease::on_conflict(absl::Time now)
{
    m_may_append = false;
    note_holder(now);
}

void duty_lease::on_peer_holds(std::uint64_t token, absl::Time now)
{
    if (m_held && token < *m_held)
        return;
    if (m_held && token > *m_held)
        on_fenced(now);
    if (!m_has_highest || token >= m_highest_token) {
        m_has_highest = true;
        m_highest_token = token;
        note_holder(now);
    }
}

void duty_lease::on_fenced(absl::Time now)
{
    m_held.reset();
    m_may_append = false;
    note_holder(now);
    m_not_before = now + m_options.term;
}

std::optional<std::uint64_t> duty_lease::held(absl::Time now) const
{
    if (!m_held || m_must_read || now - m_last_tick > m_options.longest_pause)
        return std::nullopt;
    return m_held;
}

} // namespace chivedeal::forward
