#ifndef CHIVEDEAL_FORWARD_CONTROL_LOG_HPP
#define CHIVEDEAL_FORWARD_CONTROL_LOG_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/record_batch.hpp"
#include "chivedeal/forward/usage_report.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace chivedeal::forward {

/// State read from the lease topic: grants of the control lease, and the usage reports that lease
/// holders record before they send them. If a window has several reports, the first one counts
/// regardless of its author, so that two holders never send different counts.
class control_log
{
public:
    void apply(const record_batch& batch);

    std::optional<node_id> holder() const { return m_holder; }
    /// Offset of the newest grant, which is the holder's fencing token.
    std::uint64_t holder_token() const { return m_holder_token; }
    /// Offset at which the next read starts and the next append is expected.
    std::uint64_t end_offset() const { return m_end_offset; }

    const usage_report* planned_report(std::int64_t window) const;

    static std::string encode_grant(const node_id& holder);
    static std::string encode_report(const usage_report& report);

private:
    std::optional<node_id> m_holder;
    std::uint64_t m_holder_token = 0;
    std::uint64_t m_end_offset = 0;
    std::map<std::int64_t, usage_report> m_reports;
};

} // namespace chivedeal::forward

#endif
