#include "chivedeal/era/plan_archive.hpp"

namespace chivedeal::era {

namespace {

// Reports of older windows are never sent again.
constexpr std::size_t max_retained_plans = 16;

} // namespace

void plan_archive::add(const planned_report& plan)
{
    const auto [known, is_new] = m_plans.try_emplace(plan.report.window, plan);
    if (!is_new && plan.epoch < known->second.epoch)
        known->second = plan;
    if (m_plans.size() > max_retained_plans)
        m_plans.erase(m_plans.begin());
}

const planned_report* plan_archive::find(std::int64_t window) const
{
    const auto found = m_plans.find(window);
    return found == m_plans.end() ? nullptr : &found->second;
}

std::vector<planned_report> plan_archive::missing_from(const plan_archive& stored) const
{
    std::vector<planned_report> missing;
    for (const auto& [window, plan] : m_plans) {
        const planned_report* known = stored.find(window);
        if (known == nullptr || known->epoch > plan.epoch)
            missing.push_back(plan);
    }
    return missing;
}

std::vector<planned_report> plan_archive::all() const
{
    std::vector<planned_report> plans;
    for (const auto& [window, plan] : m_plans)
        plans.push_back(plan);
    return plans;
}

} // namespace chivedeal::era
