#ifndef CHIVEDEAL_CORE_JSON_OBJECT_HPP
#define CHIVEDEAL_CORE_JSON_OBJECT_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>

namespace chivedeal {

/// Parses a JSON object; anything else gives an empty object, and so does an object with more than
/// 64 levels, as copying one takes stack space for each level.
nlohmann::json parse_json_object(const std::string& text);

/// Returns a member, or `fallback` when it is absent, of another type, or an integer that `T` can't
/// hold. Unlike `json::value` it does not throw on another type, since the text comes from outside.
///
///     const auto running = member_or(report, "running", 0);
template<class T>
T member_or(const nlohmann::json& object, const char* name, const T& fallback)
{
    const auto found = object.find(name);
    if (found == object.end())
        return fallback;
    if constexpr (std::is_integral_v<T> && !std::is_same_v<T, bool>) {
        if (found->is_number_unsigned() && !std::in_range<T>(found->get<std::uint64_t>()))
            return fallback;
        if (found->is_number_integer() && !found->is_number_unsigned() &&
            !std::in_range<T>(found->get<std::int64_t>()))
            return fallback;
    }
    bool fits = found->type() == nlohmann::json(fallback).type();
    if constexpr (std::is_same_v<T, bool>)
        fits = found->is_boolean();
    else if constexpr (std::is_unsigned_v<T>)
        fits = found->is_number_unsigned();
    else if constexpr (std::is_integral_v<T>)
        fits = found->is_number_integer();
    else if constexpr (std::is_floating_point_v<T>)
        fits = found->is_number();
    return fits ? found->template get<T>() : fallback;
}

std::string member_or(const nlohmann::json& object, const char* name, const char* fallback);

/// Encodes with invalid UTF-8 replaced, where `dump` would throw.
std::string encode_json(const nlohmann::json& value);

} // namespace chivedeal

#endif
