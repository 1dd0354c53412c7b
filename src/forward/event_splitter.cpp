#include "chivedeal/forward/event_splitter.hpp"

namespace chivedeal::forward {

std::string event_splitter::feed(std::string_view bytes)
{
    m_partial += bytes;
    const std::size_t unix_end = m_partial.rfind("\n\n");
    const std::size_t dos_end = m_partial.rfind("\n\r\n");
    std::size_t end = 0;
    if (unix_end != std::string::npos)
        end = unix_end + 2;
    if (dos_end != std::string::npos && dos_end + 3 > end)
        end = dos_end + 3;
    if (end == 0)
        return {};
    std::string whole = m_partial.substr(0, end);
    m_partial.erase(0, end);
    note_id(whole);
    return whole;
}

void event_splitter::note_id(std::string_view events)
{
    std::size_t line = 0;
    while (line < events.size()) {
        std::size_t end = events.find('\n', line);
        if (end == std::string_view::npos)
            end = events.size();
        std::string_view text = events.substr(line, end - line);
        if (!text.empty() && text.back() == '\r')
            text.remove_suffix(1);
        if (text.substr(0, 3) == "id:") {
            text.remove_prefix(3);
            if (!text.empty() && text.front() == ' ')
                text.remove_prefix(1);
            m_last_id = std::string(text);
        }
        line = end + 1;
    }
}

} // namespace chivedeal::forward
