#include "test/scenario_runner/background_call.hpp"

#include <mutex>
#include <utility>

namespace chivedeal::scenario {

background_call::background_call(operators::caller_client::options wiring,
                                 operators::caller_client::call call)
    : m_client(std::move(wiring)), m_call(std::move(call)), m_thread("caller", [this] {
          operators::caller_answer answer =
              m_client.send(m_call, [this](std::uint64_t position, const std::string&) {
                  const std::lock_guard<mutex> lock(m_mutex);
                  m_tokens = position + 1;
              });
          const std::lock_guard<mutex> lock(m_mutex);
          m_answer = std::move(answer);
      })
{}

std::size_t background_call::tokens() const
{
    const std::lock_guard<mutex> lock(m_mutex);
    return m_tokens;
}

std::optional<operators::caller_answer> background_call::answer() const
{
    const std::lock_guard<mutex> lock(m_mutex);
    return m_answer;
}

} // namespace chivedeal::scenario
