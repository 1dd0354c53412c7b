#ifndef CHIVEDEAL_REQUESTS_ANSWER_SINK_HPP
#define CHIVEDEAL_REQUESTS_ANSWER_SINK_HPP

#include "chivedeal/requests/answer_event.hpp"

namespace chivedeal::requests {

/// Receives the events of the answer to one request. Thread-safe.
class answer_sink
{
public:
    virtual ~answer_sink() = default;

    /// Returns false if the caller is gone or has too many events left to read.
    [[nodiscard]] virtual bool try_push(answer_event event) = 0;
    /// No further event follows.
    virtual void close() = 0;
};

} // namespace chivedeal::requests

#endif
