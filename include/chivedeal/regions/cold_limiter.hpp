#ifndef CHIVEDEAL_REGIONS_COLD_LIMITER_HPP
#define CHIVEDEAL_REGIONS_COLD_LIMITER_HPP

#include "chivedeal/regions/cold_share.hpp"

#include "absl/time/time.h"

namespace chivedeal::regions {

/// Issues this node's permits for requests to one cold endpoint. There is at most one valid permit
/// at a time.
class cold_limiter
{
public:
    /// Issues permits according to `share` from now on. `phase`, in [0, 1), is the part of a period
    /// until the first one. Has no effect if the share is unchanged.
    void set_share(const cold_share& share, double phase, absl::Time now);

    bool has_permit(absl::Time now) const;

    /// Uses the valid permit, if there is one.
    void spend(absl::Time now);

private:
    absl::Duration time_since_issue(absl::Time now) const;

    cold_share m_share;
    // The earliest permit that has not been spent.
    absl::Time m_next_permit = absl::InfiniteFuture();
};

} // namespace chivedeal::regions

#endif
