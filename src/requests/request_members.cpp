#include "chivedeal/requests/request_members.hpp"

#include "chivedeal/requests/prompt_prefix.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>

namespace chivedeal::requests {

namespace {

using nlohmann::json;

// The same as for other JSON from outside; an engine may process a value recursively.
constexpr int max_levels = 64;

/// Notes the wanted members of the outermost object. Each function returns whether to go on.
class member_reader : public nlohmann::json_sax<json>
{
public:
    const request_members& members() const { return m_members; }

    bool null() override { return is_inside(); }
    bool boolean(bool /*value*/) override { return is_inside(); }
    bool number_integer(number_integer_t /*value*/) override { return is_inside(); }
    bool number_unsigned(number_unsigned_t value) override
    {
        if (m_levels == 1 && m_key == "max_tokens")
            m_members.max_tokens = value;
        return is_inside();
    }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override
    {
        return is_inside();
    }
    bool string(string_t& value) override
    {
        if (m_levels == 1 && m_key == "route")
            m_members.route = value;
        else if (m_levels == 1 && m_key == "prompt")
            m_members.prefix = prompt_prefix(value);
        return is_inside();
    }
    bool binary(binary_t& /*value*/) override { return false; }
    bool start_object(std::size_t /*elements*/) override { return ++m_levels <= max_levels; }
    bool key(string_t& name) override
    {
        if (m_levels == 1)
            m_key = name;
        return true;
    }
    bool end_object() override
    {
        --m_levels;
        return true;
    }
    bool start_array(std::size_t /*elements*/) override
    {
        return is_inside() && ++m_levels <= max_levels;
    }
    bool end_array() override
    {
        --m_levels;
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*failure*/) override
    {
        return false;
    }

private:
    // A value outside of an object is the whole text.
    bool is_inside() const { return m_levels > 0; }

    int m_levels = 0;
    std::string m_key;
    request_members m_members;
};

} // namespace

std::optional<request_members> read_request_members(const std::string& body)
{
    member_reader reader;
    if (!json::sax_parse(body, &reader))
        return std::nullopt;
    return reader.members();
}

} // namespace chivedeal::requests
