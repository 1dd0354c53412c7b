#include "chivedeal/state/log_appender.hpp"

#include "chivedeal/core/clock.hpp"
#include "chivedeal/state/append_listener.hpp"
#include "chivedeal/state/append_queue.hpp"
#include "chivedeal/state/log_service.hpp"

namespace chivedeal::state {

namespace {

// Limits the records taken from the ring while the log is down. The ring then fills up and rejects
// new records, which applies back-pressure to the edge.
constexpr std::size_t max_pending_records = 4096;

} // namespace

log_appender::log_appender(options wiring) : m_options(wiring), m_batcher(m_options.limits) {}

void log_appender::run()
{
    while (!m_stop.closed()) {
        take_records();
        if (const auto batch = m_batcher.take(m_options.time.now()))
            (void)append(*batch);
    }
    // Callers were told that these records are in progress, so try once more to append them.
    while (const auto batch = m_batcher.take(m_options.time.now()))
        if (!append(*batch))
            return;
}

void log_appender::request_stop()
{
    m_stop.close();
    m_options.queue.ring().close();
}

void log_appender::take_records()
{
    bounded_ring<record>& ring = m_options.queue.ring();
    const absl::Duration wait = m_batcher.wait(m_options.time.now());
    if (m_batcher.size() >= max_pending_records) {
        (void)m_stop.pop(wait);
        return;
    }
    for (auto next = ring.pop(wait); next; next = ring.pop(absl::ZeroDuration())) {
        m_batcher.add(*next, m_options.time.now());
        if (m_batcher.size() >= max_pending_records)
            return;
    }
}

bool log_appender::append(const append_batcher::batch& batch)
{
    const bool ok = is_ok(m_options.log.append(batch.stream, batch.records));
    m_batcher.finished(batch, ok, m_options.time.now());
    if (ok && m_options.listener != nullptr)
        for (const change_id& change : batch.changes)
            m_options.listener->on_appended(change);
    return ok;
}

} // namespace chivedeal::state
