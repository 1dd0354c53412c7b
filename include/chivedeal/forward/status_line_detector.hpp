#ifndef CHIVEDEAL_FORWARD_STATUS_LINE_DETECTOR_HPP
#define CHIVEDEAL_FORWARD_STATUS_LINE_DETECTOR_HPP

#include <string>
#include <string_view>

namespace chivedeal::forward {

/// Whether `text` begins with a protocol version and a status, such as "HTTP/1.1 503".
bool starts_with_status_line(std::string_view text);

/// Finds the head of another response in a stream of server-sent events.
///
/// An endpoint may break off a stream that ends with its connection and write an error response to
/// the same connection. No line of an event begins with a status line.
class status_line_detector
{
public:
    /// Takes the next bytes of the stream. Returns whether one of their lines begins with a status
    /// line.
    bool feed(std::string_view bytes);

private:
    std::string m_line_start;
};

} // namespace chivedeal::forward

#endif
