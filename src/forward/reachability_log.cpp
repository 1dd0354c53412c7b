#include "chivedeal/forward/reachability_log.hpp"

#include "chivedeal/core/log_event.hpp"

namespace chivedeal::forward {

void reachability_log::on_read_success()
{
    if (!m_reachable)
        log_event(event_id::store_recovered, {{"topic", m_topic}});
    m_reachable = true;
}

void reachability_log::on_read_failure(const std::string& reason)
{
    if (m_reachable)
        log_event(event_id::store_unreachable, {{"topic", m_topic}, {"reason", reason}});
    m_reachable = false;
}

} // namespace chivedeal::forward
