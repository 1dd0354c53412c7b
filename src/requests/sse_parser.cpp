#include "chivedeal/requests/sse_parser.hpp"

#include <utility>

namespace chivedeal::requests {

namespace {

// Returns the value of a "field: value" line; one space after the colon is part of the syntax.
std::string_view value_of(std::string_view line, std::size_t colon)
{
    std::string_view value = line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    return value;
}

} // namespace

bool sse_parser::feed(std::string_view bytes, const std::function<bool(const event&)>& sink)
{
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        m_line.append(bytes.substr(0, end));
        if (m_line.size() > max_line_bytes)
            return false;
        if (end == std::string_view::npos)
            return true;
        bytes.remove_prefix(end + 1);
        if (!m_line.empty() && m_line.back() == '\r')
            m_line.pop_back();
        const std::string line = std::exchange(m_line, {});
        if (!handle_line(line, sink))
            return false;
    }
    return true;
}

bool sse_parser::handle_line(std::string_view line, const std::function<bool(const event&)>& sink)
{
    if (line.empty()) {
        const event complete = std::exchange(m_event, {});
        const bool has_data = std::exchange(m_has_data, false);
        return has_data || !complete.type.empty() ? sink(complete) : true;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return true;
    const std::string_view field = line.substr(0, colon);
    const std::string_view value = value_of(line, colon);
    if (field == "event")
        m_event.type = value;
    else if (field == "id")
        m_event.id = value;
    else if (field == "data") {
        if (m_has_data)
            m_event.data += '\n';
        m_event.data += value;
        m_has_data = true;
    }
    return true;
}

} // namespace chivedeal::requests
