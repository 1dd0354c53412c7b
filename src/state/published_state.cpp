#include "chivedeal/state/published_state.hpp"

#include "chivedeal/state/cluster_state.hpp"
#include "chivedeal/state/stream_name.hpp"

#include <algorithm>
#include <mutex>
#include <utility>

namespace chivedeal::state {

namespace {

// Memory of an entry besides its data, so that the limit also holds for many small records.
constexpr std::size_t entry_overhead_bytes = sizeof(log_entry) + 32;

// A new snapshot is due when 1/snapshots_per_tail of the tail limit has been added, so that the tail
// always begins before the end of the stored snapshot.
constexpr std::size_t snapshots_per_tail = 4;

} // namespace

published_state::published_state(std::size_t max_tail_bytes)
    : m_max_tail_bytes(max_tail_bytes), m_state(std::make_shared<const cluster_state>())
{}

std::shared_ptr<const cluster_state> published_state::state() const
{
    const std::lock_guard<mutex> lock(m_mutex);
    return m_state;
}

bool published_state::ready() const
{
    const std::lock_guard<mutex> lock(m_mutex);
    return m_ready;
}

log_progress published_state::progress() const
{
    const std::lock_guard<mutex> lock(m_mutex);
    return m_progress;
}

result<std::vector<log_entry>> published_state::records_from(std::uint64_t offset) const
{
    const std::lock_guard<mutex> lock(m_mutex);
    if (offset > m_state->applied_offset)
        return std::vector<log_entry>{};
    if (m_tail.empty() || offset < m_tail.front().offset)
        return error{.code = result_code::log_truncated,
                     .message =
                         "the node no longer keeps these records; fetch its snapshot instead"};
    const auto begin = std::lower_bound(
        m_tail.begin(), m_tail.end(), offset,
        [](const log_entry& entry, std::uint64_t wanted) { return entry.offset < wanted; });
    const auto count = std::min<std::ptrdiff_t>(m_tail.end() - begin, max_answer_records);
    return std::vector<log_entry>(begin, begin + count);
}

result<std::string> published_state::snapshot() const
{
    std::shared_ptr<const std::string> stored;
    {
        const std::lock_guard<mutex> lock(m_mutex);
        stored = m_snapshot;
    }
    if (!stored)
        return error{.code = result_code::not_ready,
                     .message = "the node has no snapshot of its state yet; retry later"};
    return *stored;
}

void published_state::publish(std::shared_ptr<const cluster_state> state, bool ready,
                              log_progress progress)
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_state.swap(state);
    m_ready = ready;
    m_progress = progress;
}

void published_state::add_records(const std::vector<log_entry>& entries)
{
    const std::lock_guard<mutex> lock(m_mutex);
    for (const log_entry& entry : entries) {
        // Adopting a snapshot leaves a gap in the records; keep only those after it.
        if (!m_tail.empty() && entry.offset != m_tail.back().offset + 1) {
            m_tail.clear();
            m_tail_bytes = 0;
        }
        m_tail.push_back(entry);
        m_tail_bytes += entry.data.size() + entry_overhead_bytes;
        m_bytes_since_snapshot += entry.data.size() + entry_overhead_bytes;
    }
    while (m_tail_bytes > m_max_tail_bytes) {
        m_tail_bytes -= m_tail.front().data.size() + entry_overhead_bytes;
        m_tail.pop_front();
    }
}

void published_state::store_snapshot(std::string data)
{
    auto stored = std::make_shared<const std::string>(std::move(data));
    const std::lock_guard<mutex> lock(m_mutex);
    m_snapshot.swap(stored);
    m_bytes_since_snapshot = 0;
    m_snapshot_requested = false;
}

bool published_state::snapshot_due() const
{
    const std::lock_guard<mutex> lock(m_mutex);
    return !m_snapshot || m_snapshot_requested ||
           m_bytes_since_snapshot > m_max_tail_bytes / snapshots_per_tail;
}

bool published_state::mark_notified(const std::string& stream, std::uint64_t offset)
{
    const std::lock_guard<mutex> lock(m_mutex);
    std::uint64_t& notified_offset =
        stream == claims_stream ? m_notified_claims : m_notified_control;
    if (offset <= notified_offset)
        return false;
    notified_offset = offset;
    return true;
}

void published_state::request_snapshot()
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_snapshot_requested = true;
}

bool published_state::snapshot_requested() const
{
    const std::lock_guard<mutex> lock(m_mutex);
    return m_snapshot_requested;
}

} // namespace chivedeal::state
