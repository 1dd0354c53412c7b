#include "chivedeal/regions/evacuation_log.hpp"

namespace chivedeal::regions {

namespace {

// The operator writes what a restored store has lost again within about two seconds.
constexpr absl::Duration rewrite_time = absl::Milliseconds(2300);

} // namespace

bool evacuation_log::on_record(const zone_evacuation& record)
{
    const auto [known, is_new] = m_newest.try_emplace(record.zone, record);
    if (is_new)
        return record.in_force;
    if (record.offset < known->second.offset)
        return false;
    const bool was_in_force = known->second.in_force;
    known->second = record;
    return record.in_force != was_in_force;
}

bool evacuation_log::on_list(const std::vector<zone_evacuation>& records, absl::Time now)
{
    const std::set<zone_id> before = zones();
    const bool is_rewriting = m_held_until != absl::InfiniteFuture() && now < m_held_until;
    if (!is_rewriting) {
        m_newest.clear();
        m_held_until = absl::InfiniteFuture();
    }
    for (const zone_evacuation& record : records)
        on_record(record);
    return zones() != before;
}

void evacuation_log::on_restored(absl::Time now)
{
    m_held_until = now + rewrite_time;
    for (auto& [zone, record] : m_newest)
        record.offset = 0;
}

std::set<zone_id> evacuation_log::zones() const
{
    std::set<zone_id> evacuated;
    for (const auto& [zone, record] : m_newest)
        if (record.in_force)
            evacuated.insert(zone);
    return evacuated;
}

} // namespace chivedeal::regions
