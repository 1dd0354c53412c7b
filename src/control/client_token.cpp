#include "chivedeal/control/client_token.hpp"

#include "absl/strings/str_cat.h"

namespace chivedeal::control {

std::string to_string(const client_token& value)
{
    return absl::StrCat(value.scope, ":", value.grant, ":", value.slot);
}

} // namespace chivedeal::control
