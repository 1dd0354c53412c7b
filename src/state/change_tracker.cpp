#include "chivedeal/state/change_tracker.hpp"

#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/state/applied_record.hpp"
#include "chivedeal/state/stream_name.hpp"

#include <ctime>
#include <mutex>

namespace chivedeal::state {

namespace {

absl::Duration monotonic_now()
{
    timespec now{};
    clock_gettime(CLOCK_MONOTONIC, &now);
    return absl::DurationFromTimespec(now);
}

} // namespace

error change_tracker::wait(const change_id& change, absl::Duration timeout)
{
    const absl::Duration deadline = monotonic_now() + timeout;
    const std::lock_guard<mutex> lock(m_mutex);
    while (true) {
        if (const auto found = m_effects.find(change); found != m_effects.end())
            return found->second;
        const absl::Duration remaining = deadline - monotonic_now();
        if (remaining <= absl::ZeroDuration())
            return {.code = result_code::outcome_unknown,
                    .message =
                        "change " + change.str() +
                        " was not read back from the log in time; query its outcome by its ID"};
        m_changed.wait_for(m_mutex, remaining);
    }
}

std::optional<error> change_tracker::find(const change_id& change) const
{
    const std::lock_guard<mutex> lock(m_mutex);
    const auto found = m_effects.find(change);
    if (found == m_effects.end())
        return std::nullopt;
    return found->second;
}

void change_tracker::on_applied(const applied_record& applied)
{
    if (applied.stream == control_stream)
        record_effect(applied.entry.change, applied.effect);
}

void change_tracker::on_state(std::shared_ptr<const cluster_state> /*state*/) {}

void change_tracker::on_appended(const change_id& change)
{
    // An acknowledged append says nothing about preconditions, so it counts as the effect only when
    // read-back is disabled for tests of the mechanism.
    if (!is_enabled(mechanism::read_back))
        record_effect(change, {});
}

void change_tracker::record_effect(const change_id& change, const error& effect)
{
    const std::lock_guard<mutex> lock(m_mutex);
    if (!m_effects.try_emplace(change, effect).second)
        return;
    m_change_order.push_back(change);
    if (m_change_order.size() > m_capacity) {
        m_effects.erase(m_change_order.front());
        m_change_order.pop_front();
    }
    m_changed.notify_all();
}

} // namespace chivedeal::state
