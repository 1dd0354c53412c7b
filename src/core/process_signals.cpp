#include "chivedeal/core/process_signals.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/signal_listener.hpp"

#include "absl/strings/str_cat.h"

#include <pthread.h>
#include <unistd.h>

#include <csignal>
#include <cstring>

namespace chivedeal {

namespace {

// Wakes `run` after `end`. From elsewhere it has no effect.
constexpr int wake_signal = SIGUSR1;

sigset_t handled_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGTERM, SIGINT, SIGHUP, wake_signal})
        sigaddset(&signals, number);
    return signals;
}

// Returns -1 if no signal arrives in time.
int wait_for_signal(absl::Duration timeout)
{
    const sigset_t signals = handled_signals();
    if (timeout == absl::InfiniteDuration())
        return sigwaitinfo(&signals, nullptr);
    const timespec limit = absl::ToTimespec(timeout);
    return sigtimedwait(&signals, nullptr, &limit);
}

} // namespace

void process_signals::block()
{
    const sigset_t signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void process_signals::run()
{
    while (!m_ended) {
        const int received = wait_for_signal(m_options.settings_check_interval);
        if (received == SIGTERM || received == SIGINT)
            handle_stop_signal(received);
        else if (received != wake_signal)
            m_options.listener.on_settings_check();
    }
}

void process_signals::end()
{
    m_ended = true;
    kill(getpid(), wake_signal);
}

void process_signals::handle_stop_signal(int number)
{
    log_event(event_id::stop_signal_received,
              {{"signal", absl::StrCat("SIG", sigabbrev_np(number))},
               {"effect", m_stopping ? "none" : "drain"}});
    m_stopping = true;
    m_options.listener.on_stop_requested();
}

} // namespace chivedeal
