#ifndef CHIVEDEAL_FORWARD_EVENT_SPLITTER_HPP
#define CHIVEDEAL_FORWARD_EVENT_SPLITTER_HPP

#include <string>
#include <string_view>

namespace chivedeal::forward {

/// Cuts a stream of server-sent events into whole events and remembers the last one's identifier.
class event_splitter
{
public:
    /// Returns the bytes up to the end of the last whole event.
    std::string feed(std::string_view bytes);

    /// Drops the part of an event that has not ended, when the stream goes on elsewhere.
    void drop_partial() { m_partial.clear(); }

    bool has_partial() const { return !m_partial.empty(); }

    /// Empty before the first event.
    const std::string& last_id() const { return m_last_id; }

private:
    void note_id(std::string_view events);

    std::string m_partial;
    std::string m_last_id;
};

} // namespace chivedeal::forward

#endif
