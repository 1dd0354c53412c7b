#ifndef CHIVEDEAL_SRC_STATE_JSON_FIELDS_HPP
#define CHIVEDEAL_SRC_STATE_JSON_FIELDS_HPP

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>

namespace chivedeal::state::detail {

/// Returns a JSON string, or `{"base64": ...}` for non-ASCII text.
inline nlohmann::json encode_text(const std::string& text)
{
    if (std::all_of(text.begin(), text.end(), [](char c) { return c >= 0; }))
        return text;
    return {{"base64", absl::Base64Escape(text)}};
}

/// Reads typed fields of a decoded JSON object; records the first error instead of throwing.
class json_fields
{
public:
    explicit json_fields(const nlohmann::json& object) : m_object(object) {}

    std::string text(const char* name)
    {
        const nlohmann::json& field = find(name);
        if (field.is_string())
            return field.get<std::string>();
        std::string decoded;
        const auto encoded =
            field.is_object() ? field.find("base64") : nlohmann::json::const_iterator();
        if (field.is_object() && encoded != field.end() && encoded->is_string() &&
            absl::Base64Unescape(encoded->get<std::string>(), &decoded))
            return decoded;
        fail(name);
        return {};
    }

    std::uint64_t offset(const char* name)
    {
        const nlohmann::json& field = find(name);
        if (field.is_number_unsigned())
            return field.get<std::uint64_t>();
        fail(name);
        return 0;
    }

    int whole_number(const char* name)
    {
        const std::uint64_t value = offset(name);
        if (value <= static_cast<std::uint64_t>(std::numeric_limits<int>::max()))
            return static_cast<int>(value);
        fail(name);
        return 0;
    }

    double number(const char* name)
    {
        const nlohmann::json& field = find(name);
        if (field.is_number())
            return field.get<double>();
        fail(name);
        return 0;
    }

    bool flag(const char* name)
    {
        const nlohmann::json& field = find(name);
        if (field.is_boolean())
            return field.get<bool>();
        fail(name);
        return false;
    }

    absl::Duration milliseconds(const char* name)
    {
        const nlohmann::json& field = find(name);
        if (field.is_number_integer())
            return absl::Milliseconds(field.get<std::int64_t>());
        fail(name);
        return {};
    }

    bool has(const char* name) const { return m_object.is_object() && m_object.contains(name); }

    /// Name of the first field that is missing or has the wrong type; empty if all are valid.
    const std::string& invalid_field() const { return m_invalid_field; }

private:
    const nlohmann::json& find(const char* name) const
    {
        static const nlohmann::json null_field;
        if (!m_object.is_object())
            return null_field;
        const auto found = m_object.find(name);
        return found == m_object.end() ? null_field : *found;
    }

    void fail(const char* name)
    {
        if (m_invalid_field.empty())
            m_invalid_field = name;
    }

    const nlohmann::json& m_object;
    std::string m_invalid_field;
};

} // namespace chivedeal::state::detail

#endif
