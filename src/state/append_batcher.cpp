#include "chivedeal/state/append_batcher.hpp"

#include "chivedeal/state/record_codec.hpp"
#include "chivedeal/state/stream_name.hpp"

#include <algorithm>

namespace chivedeal::state {

void append_batcher::add(const record& entry, absl::Time now)
{
    queue& target = stream_of(entry.body) == claims_stream ? m_claims : m_control;
    target.items.push_back({.data = encode_record(entry), .change = entry.change, .added = now});
}

std::optional<append_batcher::batch> append_batcher::take(absl::Time now)
{
    if (auto control_batch = take_from(m_control, control_stream, now))
        return control_batch;
    return take_from(m_claims, claims_stream, now);
}

std::optional<append_batcher::batch>
append_batcher::take_from(queue& source, const std::string& stream, absl::Time now)
{
    while (!source.items.empty() && now - source.items.front().added > m_options.max_record_age)
        source.items.pop_front();
    if (source.items.empty() || now < source.next)
        return std::nullopt;
    batch next_batch{.stream = stream, .records = {}, .changes = {}};
    std::size_t bytes = 0;
    for (const item& entry : source.items) {
        bytes += entry.data.size();
        const bool full = next_batch.records.size() == m_options.max_records ||
                          (!next_batch.records.empty() && bytes > m_options.max_bytes);
        if (full)
            break;
        next_batch.records.push_back(entry.data);
        next_batch.changes.push_back(entry.change);
    }
    return next_batch;
}

void append_batcher::finished(const batch& attempted, bool ok, absl::Time now)
{
    queue& source = attempted.stream == claims_stream ? m_claims : m_control;
    if (!ok) {
        source.backoff =
            std::clamp(source.backoff * 2, m_options.first_backoff, m_options.max_backoff);
        source.next = now + source.backoff;
        return;
    }
    source.backoff = absl::ZeroDuration();
    source.next = attempted.stream == claims_stream ? now + m_options.claims_interval : now;
    source.items.erase(source.items.begin(), source.items.begin() + static_cast<std::ptrdiff_t>(
                                                                        attempted.records.size()));
}

absl::Duration append_batcher::wait(absl::Time now) const
{
    absl::Duration shortest = absl::InfiniteDuration();
    for (const queue* source : {&m_control, &m_claims})
        if (!source->items.empty())
            shortest = std::min(shortest, std::max(source->next - now, absl::ZeroDuration()));
    return shortest;
}

} // namespace chivedeal::state
