#ifndef TEST_SCENARIO_RUNNER_BACKGROUND_CHANGE_HPP
#define TEST_SCENARIO_RUNNER_BACKGROUND_CHANGE_HPP

#include "chivedeal/core/error.hpp"
#include "chivedeal/core/mutex.hpp"
#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/operators/operator_client.hpp"

#include <optional>
#include <string>

namespace chivedeal::scenario {

/// An operator's change that runs in a thread of its own.
class background_change
{
public:
    struct options
    {
        operators::operator_client::options client;
        std::string path;
        /// Absent deletes.
        std::optional<std::string> body;
        /// -1 takes the version that the cluster has.
        int expected_version = -1;
    };

    explicit background_change(options start);

    /// The change's effect, once it is known.
    std::optional<error> effect() const;

private:
    error run();

    options m_options;
    mutable mutex m_mutex;
    std::optional<error> m_effect;
    posix_thread m_thread;
};

} // namespace chivedeal::scenario

#endif
