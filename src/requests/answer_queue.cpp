#include "chivedeal/requests/answer_queue.hpp"

#include "chivedeal/requests/ready_answers.hpp"

#include <mutex>
#include <utility>

namespace chivedeal::requests {

namespace {

std::size_t bytes_of(const answer_event& event)
{
    const auto* token = std::get_if<answer_token>(&event);
    return sizeof event + (token == nullptr ? 0 : token->text.size());
}

} // namespace

answer_queue::answer_queue(options wiring) : m_options(std::move(wiring)) {}

bool answer_queue::try_push(answer_event event)
{
    bool was_empty = false;
    {
        const std::lock_guard<mutex> lock(m_mutex);
        if (m_closed || m_abandoned || m_events.size() >= m_options.max_events)
            return false;
        was_empty = m_events.empty();
        m_bytes += bytes_of(event);
        m_events.push_back(std::move(event));
    }
    if (was_empty)
        m_options.ready->add(m_options.connection);
    return true;
}

void answer_queue::close()
{
    {
        const std::lock_guard<mutex> lock(m_mutex);
        if (std::exchange(m_closed, true))
            return;
    }
    m_options.ready->add(m_options.connection);
}

std::optional<answer_event> answer_queue::pop()
{
    const std::lock_guard<mutex> lock(m_mutex);
    if (m_events.empty())
        return std::nullopt;
    std::optional<answer_event> event(std::move(m_events.front()));
    m_events.pop_front();
    m_bytes -= bytes_of(*event);
    return event;
}

bool answer_queue::ended() const
{
    const std::lock_guard<mutex> lock(m_mutex);
    return m_closed && m_events.empty();
}

std::size_t answer_queue::bytes() const
{
    const std::lock_guard<mutex> lock(m_mutex);
    return m_bytes;
}

void answer_queue::abandon()
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_abandoned = true;
    m_events.clear();
    m_bytes = 0;
}

} // namespace chivedeal::requests
