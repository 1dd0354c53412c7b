#include "chivedeal/control/change_prefix.hpp"

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"

#include <cstdint>

namespace chivedeal::control {

std::string make_change_prefix(const node_id& node)
{
    absl::BitGen random;
    return absl::StrCat(node.str(), "-", absl::Hex(absl::Uniform<std::uint64_t>(random)));
}

} // namespace chivedeal::control
