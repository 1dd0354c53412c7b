#include "chivedeal/forward/event_splitter.hpp"

namespace chivedeal::forward {

std::string event_splitter::feed(std::string_view bytes)
{
    m_partial += bytes;
    const std::size_t lf_end = m_partial.rfind("\n\n");
    const std::size_t crlf_end = m_partial.rfind("\n\r\n");
    std::size_t end = 0;
    if (lf_end != std::string::npos)
        end = lf_end + 2;
    if (crlf_end != std::string::npos && crlf_end + 3 > end)
        end = crlf_end + 3;
    if (end == 0)
        return {};
    std::string complete_events = m_partial.substr(0, end);
    m_partial.erase(0, end);
    update_last_id(complete_events);
    return complete_events;
}

void event_splitter::update_last_id(std::string_view events)
{
    std::size_t line_begin = 0;
    while (line_begin < events.size()) {
        std::size_t line_end = events.find('\n', line_begin);
        if (line_end == std::string_view::npos)
            line_end = events.size();
        std::string_view line = events.substr(line_begin, line_end - line_begin);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.substr(0, 3) == "id:") {
            line.remove_prefix(3);
            if (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            m_last_id = std::string(line);
        }
        line_begin = line_end + 1;
    }
}

} // namespace chivedeal::forward
