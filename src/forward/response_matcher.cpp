#include "chivedeal/forward/response_matcher.hpp"

#include "chivedeal/forward/http_fields.hpp"

#include <utility>

namespace chivedeal::forward {

response_matcher::match response_matcher::on_head(const http_response_head& head,
                                                  const std::string& id_field,
                                                  const request_id& expected)
{
    const bool is_first = !std::exchange(m_has_carried_response, true);
    if (count_field(head.fields, id_field) > 1)
        return match::unknown;
    const std::string* echoed_id = find_field(head.fields, id_field);
    if (echoed_id != nullptr) {
        m_echoes_identifiers = true;
        return *echoed_id == expected.str() ? match::awaited : match::earlier;
    }
    if (is_first)
        return match::awaited;
    return m_echoes_identifiers ? match::unknown : match::probably_awaited;
}

} // namespace chivedeal::forward
