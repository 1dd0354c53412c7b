#include "chivedeal/regions/home_regions.hpp"

#include <algorithm>
#include <utility>

namespace chivedeal::regions {

home_regions::home_regions(std::vector<region_id> allowed)
{
    if (!allowed.empty())
        m_allowed = std::move(allowed);
}

bool home_regions::allows(const region_id& region) const
{
    if (!m_allowed)
        return true;
    return !region.empty() &&
           std::find(m_allowed->begin(), m_allowed->end(), region) != m_allowed->end();
}

home_regions home_regions::intersected(const home_regions& other) const
{
    if (!m_allowed)
        return other;
    home_regions both = *this;
    std::erase_if(*both.m_allowed,
                  [&other](const region_id& region) { return !other.allows(region); });
    return both;
}

home_regions home_regions::united(const home_regions& other) const
{
    if (!m_allowed || !other.m_allowed)
        return m_allowed ? *this : other;
    home_regions either = *this;
    for (const region_id& region : *other.m_allowed)
        if (!either.allows(region))
            either.m_allowed->push_back(region);
    return either;
}

} // namespace chivedeal::regions
