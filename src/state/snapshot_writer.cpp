#include "chivedeal/state/snapshot_writer.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/state/cluster_state.hpp"
#include "chivedeal/state/published_state.hpp"
#include "chivedeal/state/record_sink.hpp"
#include "chivedeal/state/snapshot_chunks.hpp"
#include "chivedeal/state/snapshot_codec.hpp"
#include "chivedeal/state/snapshot_data.hpp"

#include "absl/strings/str_cat.h"

#include <utility>

namespace chivedeal::state {

snapshot_writer::snapshot_writer(options wiring)
    : m_options(std::move(wiring)), m_policy(m_options.limits)
{}

void snapshot_writer::run()
{
    while (!m_stop.closed()) {
        const bool due =
            m_policy.decide(m_options.published.progress(), holds_lease(), m_options.time.now());
        if (due && is_enabled(mechanism::snapshots)) {
            m_options.published.request_snapshot();
            m_requested = true;
        }
        if (m_requested && !m_options.published.snapshot_requested()) {
            m_requested = false;
            write();
        }
        (void)m_stop.pop(m_options.check_interval);
    }
}

void snapshot_writer::request_stop() { m_stop.close(); }

bool snapshot_writer::holds_lease() const
{
    // A snapshot by a former holder is harmless, because it only repeats the log.
    const auto state = m_options.published.state();
    const auto found = state->leases.find(lease_scope);
    return found != state->leases.end() && found->second->holder == m_options.self;
}

void snapshot_writer::write()
{
    const auto data = m_options.published.snapshot();
    if (!is_ok(data))
        return;
    // The published snapshot may change between calls, so take the offset from the data itself.
    const auto decoded = decode_snapshot(get_value(data));
    if (!is_ok(decoded))
        return;
    const std::uint64_t offset = get_value(decoded).control->applied_offset;
    for (record& chunk : make_snapshot_chunks(get_value(data), offset))
        if (!is_ok(m_options.sink.append(std::move(chunk))))
            return;
    log_event(event_id::snapshot_written, {{"offset", absl::StrCat(offset)}});
}

} // namespace chivedeal::state
