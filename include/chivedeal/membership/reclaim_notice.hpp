#ifndef CHIVEDEAL_MEMBERSHIP_RECLAIM_NOTICE_HPP
#define CHIVEDEAL_MEMBERSHIP_RECLAIM_NOTICE_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>

namespace chivedeal::membership {

/// The platform's announcement that it takes an instance back.
struct reclaim_notice
{
    std::uint64_t sequence = 0;
    endpoint_id endpoint;
    /// Time left when the platform answered.
    absl::Duration remaining = absl::InfiniteDuration();

    friend bool operator==(const reclaim_notice&, const reclaim_notice&) = default;
};

} // namespace chivedeal::membership

#endif
