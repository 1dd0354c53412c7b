#ifndef CHIVEDEAL_CORE_PROCESS_SIGNALS_HPP
#define CHIVEDEAL_CORE_PROCESS_SIGNALS_HPP

#include "absl/time/time.h"

#include <atomic>

namespace chivedeal {

class signal_listener;

/// Handles the signals of the process: SIGTERM and SIGINT ask for a graceful stop, SIGHUP for a
/// check of the settings. A repeated stop signal doesn't end the process early, because responses
/// may still be under way; SIGKILL does.
class process_signals
{
public:
    struct options
    {
        signal_listener& listener;
        /// The settings are also checked when no signal arrives for this long.
        absl::Duration settings_check_interval = absl::InfiniteDuration();
    };

    /// Blocks the handled signals in the calling thread and in the threads that it starts. Call it
    /// before any other thread starts.
    static void block();

    explicit process_signals(options settings) : m_options(settings) {}

    /// Handles signals until `end` is called.
    void run();
    /// Thread-safe.
    void end();

private:
    void handle_stop_signal(int number);

    options m_options;
    bool m_stopping = false;
    std::atomic<bool> m_ended = false;
};

} // namespace chivedeal

#endif
