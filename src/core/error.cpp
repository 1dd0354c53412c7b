#include "chivedeal/core/error.hpp"

#include "absl/strings/str_cat.h"

namespace chivedeal {

std::string to_string(const error& value)
{
    return absl::StrCat(static_cast<int>(value.code), " ", to_string(value.code), ": ",
                        value.message);
}

} // namespace chivedeal
