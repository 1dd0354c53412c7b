#ifndef CHIVEDEAL_MEMBERSHIP_FACT_HPP
#define CHIVEDEAL_MEMBERSHIP_FACT_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <variant>

namespace chivedeal::membership {

/// An endpoint gets no new work. Instance identifiers are never reused, so it stays true.
struct endpoint_leaving
{
    endpoint_id endpoint;
    /// Time until the reclaim when the fact was sent; infinite when not known.
    absl::Duration remaining = absl::InfiniteDuration();

    friend bool operator==(const endpoint_leaving&, const endpoint_leaving&) = default;
};

/// A version is bad in the declaration at `declared_offset`; a later declaration is not affected.
struct version_bad
{
    service_id service;
    version_id version;
    std::uint64_t declared_offset = 0;
    std::string reason;

    friend bool operator==(const version_bad&, const version_bad&) = default;
};

/// A statement that only grows, so a node acts on it without agreement.
using fact = std::variant<endpoint_leaving, version_bad>;

} // namespace chivedeal::membership

#endif
