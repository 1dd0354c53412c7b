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

/// What the lease topic says: grants of the control lease and the usage reports that its holders
/// set out to send. Of several reports for a window the first one counts, whoever wrote it, so that
/// two holders never send different counts.
class control_log
{
public:
    void apply(const record_batch& batch);

    std::optional<node_id> holder() const { return m_holder; }
    /// Offset of the newest grant.
    std::uint64_t token() const { return m_token; }
    /// Where the next read goes on and the next append is expected.
    std::uint64_t end() const { return m_end; }

    const usage_report* planned_report(std::int64_t window) const;

    static std::string encode_grant(const node_id& holder);
    static std::string encode_report(const usage_report& report);

private:
    std::optional<node_id> m_holder;
    std::uint64_t m_token = 0;
    std::uint64_t m_end = 0;
    std::map<std::int64_t, usage_report> m_reports;
};

} // namespace chivedeal::forward

#endif
