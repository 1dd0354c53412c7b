#ifndef CHIVEDEAL_CORE_SIGNAL_LISTENER_HPP
#define CHIVEDEAL_CORE_SIGNAL_LISTENER_HPP

namespace chivedeal {

/// Receives what the signals of the process ask for, on the thread of `process_signals`.
class signal_listener
{
public:
    virtual ~signal_listener() = default;

    /// Begins a graceful stop. Called for every stop signal, so it has no effect on a stop that is
    /// under way.
    virtual void on_stop_requested() = 0;
    /// The settings may have changed.
    virtual void on_settings_check() = 0;
};

} // namespace chivedeal

#endif
