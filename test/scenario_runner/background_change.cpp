#include "test/scenario_runner/background_change.hpp"

#include "chivedeal/operators/change_answer.hpp"
#include "chivedeal/state/declaration.hpp"

#include <mutex>
#include <utility>

namespace chivedeal::scenario {

background_change::background_change(options start)
    : m_options(std::move(start)), m_thread("operator", [this] {
          error effect = run();
          const std::lock_guard<mutex> lock(m_mutex);
          m_effect = std::move(effect);
      })
{}

std::optional<error> background_change::effect() const
{
    const std::lock_guard<mutex> lock(m_mutex);
    return m_effect;
}

error background_change::run()
{
    operators::operator_client client(m_options.client);
    std::uint64_t version = static_cast<std::uint64_t>(m_options.expected_version);
    if (m_options.expected_version < 0) {
        const auto declared = client.declarations(m_options.path);
        if (!is_ok(declared))
            return get_error(declared);
        version = 0;
        for (const state::declaration& one : get_value(declared))
            if (one.path == m_options.path)
                version = one.version;
    }
    const auto answer = client.change(m_options.path, m_options.body, version);
    return is_ok(answer) ? get_value(answer).effect : get_error(answer);
}

} // namespace chivedeal::scenario
