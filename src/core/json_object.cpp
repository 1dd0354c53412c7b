#include "chivedeal/core/json_object.hpp"

namespace chivedeal {

using nlohmann::json;

json parse_json_object(const std::string& text)
{
    json parsed = json::parse(text, nullptr, false);
    return parsed.is_object() ? parsed : json::object();
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
