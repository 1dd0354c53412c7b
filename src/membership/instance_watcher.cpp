#include "chivedeal/membership/instance_watcher.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/membership/gossip_inbox.hpp"
#include "chivedeal/membership/instance_source.hpp"

#include <algorithm>

namespace chivedeal::membership {

instance_watcher::instance_watcher(options wiring) : m_options(wiring) {}

void instance_watcher::run()
{
    while (!m_stop.closed()) {
        poll();
        (void)m_stop.pop(m_options.interval);
    }
}

void instance_watcher::request_stop() { m_stop.close(); }

void instance_watcher::poll()
{
    // Notices first: they are newer than the list and urgent.
    const auto notices = m_options.source.notices(m_last_notice);
    if (is_ok(notices)) {
        for (const reclaim_notice& notice : get_value(notices)) {
            m_last_notice = std::max(m_last_notice, notice.sequence);
            m_options.inbox.publish_fact(
                endpoint_leaving{.endpoint = notice.endpoint, .remaining = notice.remaining},
                "notice");
        }
    }
    const auto list = m_options.source.instances();
    if (is_ok(list))
        m_options.inbox.publish_instances(get_value(list));
    if (is_ok(notices) && is_ok(list))
        report_reachable(true, "");
    else
        report_reachable(false, to_string(is_ok(list) ? get_error(notices) : get_error(list)));
}

void instance_watcher::report_reachable(bool reachable, const std::string& reason)
{
    if (m_reachable && !reachable)
        log_event(event_id::platform_list_unreachable, {{"reason", reason}});
    m_reachable = reachable;
}

} // namespace chivedeal::membership
