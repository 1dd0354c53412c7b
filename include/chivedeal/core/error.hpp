#ifndef CHIVEDEAL_CORE_ERROR_HPP
#define CHIVEDEAL_CORE_ERROR_HPP

#include "chivedeal/core/result_code.hpp"

#include <string>

namespace chivedeal {

/// A failed operation: a numbered code and a sentence that says what to do next.
struct error
{
    result_code code = result_code::ok;
    std::string message;

    friend bool operator==(const error&, const error&) = default;
};

/// Formats as "203 conflict: message".
std::string to_string(const error& value);

} // namespace chivedeal

#endif
