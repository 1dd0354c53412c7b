#ifndef CHIVEDEAL_CORE_CONDITION_HPP
#define CHIVEDEAL_CORE_CONDITION_HPP

#include "absl/time/time.h"

#include <pthread.h>

namespace chivedeal {

class mutex;

/// A POSIX condition variable whose timeouts run on the monotonic clock.
class condition
{
public:
    condition();
    ~condition();
    condition(const condition&) = delete;
    condition& operator=(const condition&) = delete;

    /// The caller holds `held`. Wakes may be spurious.
    void wait(mutex& held);

    /// Returns false when `timeout` passed. Infinite durations wait without a limit.
    bool wait_for(mutex& held, absl::Duration timeout);

    void notify_one();
    void notify_all();

private:
    pthread_cond_t m_condition;
};

} // namespace chivedeal

#endif
