#ifndef CHIVEDEAL_FAKES_FAKE_NODE_EVENT_LISTENER_HPP
#define CHIVEDEAL_FAKES_FAKE_NODE_EVENT_LISTENER_HPP

#include "chivedeal/core/mutex.hpp"
#include "chivedeal/forward/node_event.hpp"
#include "chivedeal/forward/node_event_listener.hpp"

#include <mutex>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace chivedeal::fakes {

/// Counts what a duty tells the others.
class fake_node_event_listener : public forward::node_event_listener
{
public:
    void on_event(forward::node_event event) override
    {
        const std::lock_guard<mutex> lock(m_guard);
        m_events.push_back(std::move(event));
    }

    template<typename Kind>
    std::size_t count() const
    {
        const std::lock_guard<mutex> lock(m_guard);
        std::size_t found = 0;
        for (const forward::node_event& one : m_events)
            found += std::holds_alternative<Kind>(one.value) ? 1 : 0;
        return found;
    }

    template<typename Kind>
    std::optional<Kind> newest() const
    {
        const std::lock_guard<mutex> lock(m_guard);
        for (auto event = m_events.rbegin(); event != m_events.rend(); ++event)
            if (const auto* found = std::get_if<Kind>(&event->value))
                return *found;
        return std::nullopt;
    }

    template<typename Kind>
    std::vector<Kind> all() const
    {
        const std::lock_guard<mutex> lock(m_guard);
        std::vector<Kind> found;
        for (const forward::node_event& one : m_events)
            if (const auto* event = std::get_if<Kind>(&one.value))
                found.push_back(*event);
        return found;
    }

private:
    mutable mutex m_guard;
    std::vector<forward::node_event> m_events;
};

} // namespace chivedeal::fakes

#endif
