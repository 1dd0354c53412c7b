#include "chivedeal/state/log_reader.hpp"

#include "chivedeal/state/log_position.hpp"
#include "chivedeal/state/log_service.hpp"

#include <algorithm>
#include <utility>

namespace chivedeal::state {

log_reader::log_reader(options wiring) : m_options(std::move(wiring)) {}

std::string log_reader::name() const { return "log_reader_" + m_options.stream; }

void log_reader::run()
{
    log_position::value position = m_options.position.load();
    std::uint64_t next = position.next;
    while (!m_stop.closed()) {
        if (const auto newest = m_options.position.load(); newest != position) {
            position = newest;
            next = position.next;
        }
        auto batch =
            m_options.log.read(m_options.stream, next, m_options.max_records, m_options.poll_wait);
        if (!is_ok(batch)) {
            if (!m_options.keeper_inbox.push(
                    log_failure{.stream = m_options.stream, .reason = get_error(batch)}))
                return;
            (void)m_stop.pop(m_options.retry_delay);
            continue;
        }
        const log_batch& received = get_value(batch);
        if (!received.entries.empty())
            next = received.entries.back().offset + 1;
        if (!m_options.keeper_inbox.push(take_value(std::move(batch))))
            return;
    }
}

void log_reader::request_stop() { m_stop.close(); }

} // namespace chivedeal::state
