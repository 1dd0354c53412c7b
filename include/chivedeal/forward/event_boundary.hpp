#ifndef CHIVEDEAL_FORWARD_EVENT_BOUNDARY_HPP
#define CHIVEDEAL_FORWARD_EVENT_BOUNDARY_HPP

#include <string>
#include <string_view>

namespace chivedeal::forward {

/// Tracks whether a stream of server-sent events, whose bytes are passed on as they arrive, is
/// between two events.
class event_boundary
{
public:
    void feed(std::string_view bytes);

    /// Whether the last event lacks its final blank line.
    bool is_inside_event() const { return m_is_inside_event; }

private:
    // The last bytes of the stream, enough for a blank line with its preceding line break.
    std::string m_tail;
    bool m_is_inside_event = false;
};

} // namespace chivedeal::forward

#endif
