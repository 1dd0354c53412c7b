#include "chivedeal/core/log_writer.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/system_clock.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <unistd.h>

#include <cerrno>
#include <utility>

namespace chivedeal {

namespace {

std::atomic<log_writer*> current = nullptr;

constexpr std::size_t batch_bytes = 16 * 1024;
// Lines gather for this long, so that a busy process makes few calls.
constexpr absl::Duration gather = absl::Milliseconds(50);

std::string stamp(const std::string& line)
{
    return absl::StrCat(
        absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ ", system_clock().wall_now(), absl::UTCTimeZone()),
        line, "\n");
}

} // namespace

log_writer::log_writer(options settings)
    : m_descriptor(settings.descriptor), m_lines(settings.capacity)
{}

log_writer::~log_writer() { uninstall(); }

log_writer* log_writer::installed() { return current; }

void log_writer::install() { current = this; }

void log_writer::uninstall()
{
    log_writer* self = this;
    current.compare_exchange_strong(self, nullptr);
}

void log_writer::write(std::string line)
{
    if (!m_lines.try_push(stamp(line)))
        ++m_dropped;
}

void log_writer::run()
{
    while (auto line = m_lines.pop()) {
        write_batch(std::move(*line));
        if (!m_lines.closed())
            absl::SleepFor(gather);
    }
}

void log_writer::request_stop() { m_lines.close(); }

void log_writer::write_batch(std::string batch)
{
    while (batch.size() < batch_bytes) {
        auto next = m_lines.pop(absl::ZeroDuration());
        if (!next)
            break;
        batch += *next;
    }
    const std::uint64_t dropped = m_dropped;
    if (dropped != m_reported) {
        batch += stamp(format_log_event(event_id::log_lines_dropped,
                                        {{"lines", absl::StrCat(dropped - m_reported)}}));
        m_reported = dropped;
    }
    std::size_t done = 0;
    while (done < batch.size()) {
        const ssize_t size = ::write(m_descriptor, batch.data() + done, batch.size() - done);
        if (size < 0 && errno == EINTR)
            continue;
        if (size < 0)
            return;
        done += static_cast<std::size_t>(size);
    }
}

} // namespace chivedeal
