#ifndef CHIVEDEAL_REQUESTS_ANSWER_QUEUE_HPP
#define CHIVEDEAL_REQUESTS_ANSWER_QUEUE_HPP

#include "chivedeal/core/mutex.hpp"
#include "chivedeal/requests/answer_sink.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

namespace chivedeal::requests {

class ready_answers;

/// The events of an answer on their way from the router to the thread that owns the caller's
/// connection.
class answer_queue : public answer_sink
{
public:
    struct options
    {
        std::uint64_t connection = 0;
        std::size_t max_events = 0;
        /// Notified when the queue was empty, and at its end.
        std::shared_ptr<ready_answers> ready;
    };

    explicit answer_queue(options wiring);

    [[nodiscard]] bool try_push(answer_event event) override;
    void close() override;

    std::optional<answer_event> pop();
    /// Whether the router has closed the queue and all events were taken.
    bool ended() const;
    /// Text of the events that are still to be taken.
    std::size_t bytes() const;
    /// The caller is gone: no further event is accepted.
    void abandon();

private:
    options m_options;
    mutable mutex m_mutex;
    std::deque<answer_event> m_events;
    std::size_t m_bytes = 0;
    bool m_closed = false;
    bool m_abandoned = false;
};

} // namespace chivedeal::requests

#endif
