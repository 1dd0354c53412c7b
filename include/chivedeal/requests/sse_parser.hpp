#ifndef CHIVEDEAL_REQUESTS_SSE_PARSER_HPP
#define CHIVEDEAL_REQUESTS_SSE_PARSER_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace chivedeal::requests {

/// Splits a byte stream into server-sent events.
///
///     sse_parser parser;
///     parser.feed("id: 0\ndata: oak\n\n", sink);
class sse_parser
{
public:
    struct event
    {
        /// Empty for the default event.
        std::string type;
        std::string id;
        std::string data;

        friend bool operator==(const event&, const event&) = default;
    };

    /// Limits the memory that a faulty endpoint can make the parser use.
    static constexpr std::size_t max_line_bytes = 1024 * 1024;

    /// Returns false if `sink` returned false or a line is too long.
    bool feed(std::string_view bytes, const std::function<bool(const event&)>& sink);

private:
    bool handle_line(std::string_view line, const std::function<bool(const event&)>& sink);

    std::string m_line;
    event m_event;
    bool m_has_data = false;
};

} // namespace chivedeal::requests

#endif
