#ifndef CHIVEDEAL_REGIONS_HOME_REGIONS_HPP
#define CHIVEDEAL_REGIONS_HOME_REGIONS_HPP

#include "chivedeal/core/id.hpp"

#include <optional>
#include <vector>

namespace chivedeal::regions {

/// The regions whose endpoints may receive a request.
class home_regions
{
public:
    /// No restriction.
    home_regions() = default;

    /// An empty list means no restriction.
    explicit home_regions(std::vector<region_id> allowed);

    bool is_restricted() const { return m_allowed.has_value(); }

    /// A region without a name is allowed only if there is no restriction.
    bool allows(const region_id& region) const;

    /// Returns what both allow, which may be no region at all.
    home_regions intersected(const home_regions& other) const;

    /// Returns the regions that at least one of the restrictions allows. Without a restriction on
    /// one side, the other one applies.
    home_regions united(const home_regions& other) const;

    friend bool operator==(const home_regions&, const home_regions&) = default;

private:
    std::optional<std::vector<region_id>> m_allowed;
};

} // namespace chivedeal::regions

#endif
