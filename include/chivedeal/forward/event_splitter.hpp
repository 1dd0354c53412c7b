#ifndef CHIVEDEAL_FORWARD_EVENT_SPLITTER_HPP
#define CHIVEDEAL_FORWARD_EVENT_SPLITTER_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace chivedeal::forward {

/// Splits a stream of server-sent events at event boundaries and tracks the last event ID.
class event_splitter
{
public:
    /// Appends `bytes` and returns all complete events that have not been returned yet.
    std::string feed(std::string_view bytes);

    /// Discards an incomplete event before the stream is resumed at another endpoint.
    void drop_partial() { m_partial.clear(); }

    bool has_partial() const { return !m_partial.empty(); }
    /// Size of the incomplete event.
    std::size_t partial_bytes() const { return m_partial.size(); }

    /// Empty until an event with an ID is complete.
    const std::string& last_id() const { return m_last_id; }

private:
    void update_last_id(std::string_view events);

    std::string m_partial;
    std::string m_last_id;
};

} // namespace chivedeal::forward

#endif
