#ifndef TEST_SCENARIO_RUNNER_BACKGROUND_CALL_HPP
#define TEST_SCENARIO_RUNNER_BACKGROUND_CALL_HPP

#include "chivedeal/core/mutex.hpp"
#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/operators/caller_answer.hpp"
#include "chivedeal/operators/caller_client.hpp"

#include <cstddef>
#include <optional>

namespace chivedeal::scenario {

/// A caller's request that runs in a thread of its own.
class background_call
{
public:
    background_call(operators::caller_client::options wiring, operators::caller_client::call call);

    /// Tokens received so far.
    std::size_t tokens() const;

    /// The answer, once there is one.
    std::optional<operators::caller_answer> answer() const;

private:
    operators::caller_client m_client;
    operators::caller_client::call m_call;
    mutable mutex m_mutex;
    std::size_t m_tokens = 0;
    std::optional<operators::caller_answer> m_answer;
    posix_thread m_thread;
};

} // namespace chivedeal::scenario

#endif
