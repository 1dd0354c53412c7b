#include "chivedeal/requests/json_merge.hpp"

#include "chivedeal/core/json_object.hpp"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

#include <cstddef>

namespace chivedeal::requests {

namespace {

using nlohmann::json;

/// Writes what it reads, without the replaced members of the outermost object.
class member_filter : public nlohmann::json_sax<json>
{
public:
    member_filter(const json& replaced, std::string& out) : m_replaced(replaced), m_out(out) {}

    bool null() override { return write("null"); }
    bool boolean(bool value) override { return write(value ? "true" : "false"); }
    bool number_integer(number_integer_t value) override { return write(absl::StrCat(value)); }
    bool number_unsigned(number_unsigned_t value) override { return write(absl::StrCat(value)); }
    bool number_float(number_float_t /*value*/, const string_t& text) override
    {
        return write(text);
    }
    bool string(string_t& value) override { return write(encode_json(value)); }
    bool binary(binary_t& /*value*/) override { return false; }
    bool start_object(std::size_t /*elements*/) override { return begin('{'); }
    bool key(string_t& name) override
    {
        if (m_levels == 1)
            m_is_replaced = m_replaced.contains(name);
        if (!m_is_replaced) {
            separate();
            absl::StrAppend(&m_out, encode_json(name), ":");
            m_needs_separator = false;
        }
        return true;
    }
    bool end_object() override { return end('}'); }
    bool start_array(std::size_t /*elements*/) override { return begin('['); }
    bool end_array() override { return end(']'); }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*failure*/) override
    {
        return false;
    }

private:
    void separate()
    {
        if (m_needs_separator)
            m_out += ',';
        m_needs_separator = true;
    }
    bool write(const std::string& text)
    {
        if (m_levels == 0)
            return false;
        if (!m_is_replaced) {
            separate();
            m_out += text;
        }
        return true;
    }
    bool begin(char bracket)
    {
        if (m_levels++ == 0 && bracket != '{')
            return false;
        if (!m_is_replaced) {
            separate();
            m_out += bracket;
            m_needs_separator = false;
        }
        return true;
    }
    bool end(char bracket)
    {
        // Whether a replaced member ends is seen at the next key.
        if (--m_levels == 0)
            m_is_replaced = false;
        if (!m_is_replaced) {
            m_out += bracket;
            m_needs_separator = true;
        }
        return true;
    }

    const json& m_replaced;
    std::string& m_out;
    int m_levels = 0;
    bool m_needs_separator = false;
    bool m_is_replaced = false;
};

} // namespace

std::string with_members(const std::string& object, const json& members)
{
    std::string filtered;
    filtered.reserve(object.size());
    member_filter filter(members, filtered);
    if (!json::sax_parse(object, &filter))
        filtered = "{}";
    if (members.empty())
        return filtered;
    // Both texts are objects: their members are joined between one pair of brackets.
    const std::string added = encode_json(members);
    const bool is_empty = filtered == "{}";
    filtered.pop_back();
    return absl::StrCat(filtered, is_empty ? "" : ",", added.substr(1));
}

} // namespace chivedeal::requests
