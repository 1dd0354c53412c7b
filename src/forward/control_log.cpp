#include "chivedeal/forward/control_log.hpp"

#include "chivedeal/core/json_object.hpp"
#include "chivedeal/era/position.hpp"

#include <utility>

namespace chivedeal::forward {

namespace {

using nlohmann::json;

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

std::string encode_with_epoch(json object, std::uint64_t epoch)
{
    if (epoch > 0)
        object["epoch"] = epoch;
    return encode_json(object);
}

} // namespace

void control_log::apply(const record_batch& batch)
{
    m_end_offset = batch.next_offset;
    // Grants may have expired that this node didn't read.
    if (batch.truncated)
        m_holder.reset();
    for (const stored_record& record : batch.records) {
        const json object = parse_json_object(record.value);
        if (object.contains("holder")) {
            // A grant keeps the epoch in which it was made when the store is restored from a copy.
            // One that was requested before a restoration and appended after it has a lower token
            // than the newest grant.
            const std::uint64_t epoch = member_or(object, "epoch", std::uint64_t{0});
            const std::uint64_t token = era::make_position(epoch, record.offset);
            m_has_grant_of_epoch = m_has_grant_of_epoch || epoch == m_epoch;
            if (m_holder && token < m_holder_token)
                continue;
            m_holder = node_id(member_or(object, "holder", ""));
            m_holder_token = token;
        }
        else if (object.contains("window")) {
            const era::planned_report plan{.report = report_from_json(object),
                                           .epoch = member_or(object, "epoch", std::uint64_t{0})};
            m_stored_reports.add(plan);
            m_known_reports.add(plan);
        }
    }
}

void control_log::begin_epoch(std::uint64_t epoch)
{
    m_epoch = epoch;
    m_holder.reset();
    m_holder_token = 0;
    m_end_offset = 0;
    m_has_grant_of_epoch = false;
    m_stored_reports.clear();
}

const usage_report* control_log::planned_report(std::int64_t window) const
{
    const era::planned_report* plan = m_known_reports.find(window);
    return plan == nullptr ? nullptr : &plan->report;
}

bool control_log::is_stored(std::int64_t window) const
{
    const era::planned_report* stored = m_stored_reports.find(window);
    return stored != nullptr && stored->report == *planned_report(window);
}

std::string control_log::encode_grant(const node_id& holder, std::uint64_t epoch)
{
    return encode_with_epoch({{"holder", holder.str()}}, epoch);
}

std::string control_log::encode_report(const usage_report& report, std::uint64_t epoch)
{
    return encode_with_epoch({{"window", report.window}, {"counts", counts_to_json(report)}},
                             epoch);
}

} // namespace chivedeal::forward
