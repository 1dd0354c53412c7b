#ifndef CHIVEDEAL_CORE_DUTY_HPP
#define CHIVEDEAL_CORE_DUTY_HPP

#include <string>

namespace chivedeal {

/// One job that has a thread of its own under a supervisor.
class duty
{
public:
    virtual ~duty() = default;

    virtual std::string name() const = 0;

    /// Runs until `request_stop`. Throwing means a fault: the supervisor calls `run` again.
    virtual void run() = 0;

    /// Makes `run` return soon. Called from another thread, also before `run`.
    virtual void request_stop() = 0;
};

} // namespace chivedeal

#endif
