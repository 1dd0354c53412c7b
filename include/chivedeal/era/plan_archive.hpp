#ifndef CHIVEDEAL_ERA_PLAN_ARCHIVE_HPP
#define CHIVEDEAL_ERA_PLAN_ARCHIVE_HPP

#include "chivedeal/era/planned_report.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace chivedeal::era {

/// Planned usage reports of recent windows, at most one per window.
///
/// If a window has several plans, the one of the lowest epoch counts: it may have been sent before
/// the store lost it. Within an epoch, the first one counts, whoever wrote it.
class plan_archive
{
public:
    void add(const planned_report& plan);

    /// Returns null if the window has no plan.
    const planned_report* find(std::int64_t window) const;

    /// Returns the plans that `stored` lacks or has only from a later epoch.
    std::vector<planned_report> missing_from(const plan_archive& stored) const;

    std::vector<planned_report> all() const;
    void clear() { m_plans.clear(); }

private:
    std::map<std::int64_t, planned_report> m_plans;
};

} // namespace chivedeal::era

#endif
