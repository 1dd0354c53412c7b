#ifndef CHIVEDEAL_CORE_RESULT_HPP
#define CHIVEDEAL_CORE_RESULT_HPP

#include "chivedeal/core/error.hpp"

#include <utility>
#include <variant>

namespace chivedeal {

/// Either a value or an error.
///
///     result<int> parsed = parse_port(text);
///     if (!is_ok(parsed))
///         return get_error(parsed);
///     use(get_value(parsed));
template<class T>
using result = std::variant<T, error>;

/// Result of an operation that returns no value.
using status = std::variant<std::monostate, error>;

inline status ok_status() { return status{std::monostate{}}; }

template<class T>
bool is_ok(const std::variant<T, error>& value)
{
    return value.index() == 0;
}

/// Undefined when the result holds an error.
template<class T>
const T& get_value(const std::variant<T, error>& value)
{
    return *std::get_if<0>(&value);
}

template<class T>
T take_value(std::variant<T, error>&& value)
{
    return std::move(*std::get_if<0>(&value));
}

/// Undefined when the result holds a value.
template<class T>
const error& get_error(const std::variant<T, error>& value)
{
    return *std::get_if<1>(&value);
}

} // namespace chivedeal

#endif
