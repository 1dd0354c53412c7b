#include "chivedeal/core/json_object.hpp"

#include <cstddef>
#include <utility>

namespace chivedeal {

using nlohmann::json;

namespace {

constexpr int max_nesting_depth = 64;

// Whether arrays and objects are nested deeper than the limit. Malformed text may give any result.
bool is_nested_too_deeply(const std::string& text)
{
    int depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (in_string && c == '\\')
            ++i;
        else if (c == '"')
            in_string = !in_string;
        else if (!in_string && (c == '[' || c == '{') && ++depth > max_nesting_depth)
            return true;
        else if (!in_string && (c == ']' || c == '}'))
            --depth;
    }
    return false;
}

} // namespace

json parse_json_object(const std::string& text)
{
    if (is_nested_too_deeply(text))
        return json::object();
    json parsed = json::parse(text, nullptr, false);
    return parsed.is_object() ? std::move(parsed) : json::object();
}

std::string member_or(const json& object, const char* name, const char* fallback)
{
    return member_or(object, name, std::string(fallback));
}

std::string encode_json(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace chivedeal
