#include "chivedeal/control/lease_scope.hpp"

#include "absl/strings/str_cat.h"

#include <xxhash.h>

#include <cstdint>

namespace chivedeal::control {

namespace {

// Each scope costs one renewal every 5 s. Four scopes distribute the moves over the nodes at little
// cost.
constexpr std::uint64_t move_scope_count = 4;

} // namespace

std::string snapshot_scope() { return "snapshots"; }

std::string placement_scope(const region_id& region)
{
    return absl::StrCat("placement/", region.str());
}

std::string move_scope(const service_id& service)
{
    return absl::StrCat("moves/",
                        XXH3_64bits(service.str().data(), service.str().size()) % move_scope_count);
}

std::vector<std::string> lease_scopes(const region_id& region)
{
    std::vector<std::string> scopes{snapshot_scope(), placement_scope(region)};
    for (std::uint64_t index = 0; index < move_scope_count; ++index)
        scopes.push_back(absl::StrCat("moves/", index));
    return scopes;
}

} // namespace chivedeal::control
