#include "chivedeal/forward/control_log.hpp"

#include "chivedeal/core/json_object.hpp"

namespace chivedeal::forward {

namespace {

using nlohmann::json;

// Reports of older windows are never sent again.
constexpr std::size_t max_retained_reports = 16;

json counts_to_json(const usage_report& report)
{
    json counts = json::object();
    for (const auto& [workspace, count] : report.counts)
        counts[workspace.str()] = count;
    return counts;
}

usage_report report_from_json(const json& object)
{
    usage_report report{.window = member_or(object, "window", std::int64_t{0})};
    const auto counts = object.find("counts");
    if (counts == object.end() || !counts->is_object())
        return report;
    for (const auto& [workspace, count] : counts->items())
        if (count.is_number_integer())
            report.counts[workspace_id(workspace)] = count.get<std::int64_t>();
    return report;
}

} // namespace

void control_log::apply(const record_batch& batch)
{
    m_end_offset = batch.next_offset;
    for (const stored_record& record : batch.records) {
        const json object = parse_json_object(record.value);
        if (object.contains("holder")) {
            m_holder = node_id(member_or(object, "holder", ""));
            m_holder_token = record.offset;
        }
        else if (object.contains("window")) {
            const usage_report report = report_from_json(object);
            m_reports.emplace(report.window, report);
            if (m_reports.size() > max_retained_reports)
                m_reports.erase(m_reports.begin());
        }
    }
}

const usage_report* control_log::planned_report(std::int64_t window) const
{
    const auto found = m_reports.find(window);
    return found == m_reports.end() ? nullptr : &found->second;
}

std::string control_log::encode_grant(const node_id& holder)
{
    return encode_json({{"holder", holder.str()}});
}

std::string control_log::encode_report(const usage_report& report)
{
    return encode_json({{"window", report.window}, {"counts", counts_to_json(report)}});
}

} // namespace chivedeal::forward
