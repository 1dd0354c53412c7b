#include "chivedeal/core/condition.hpp"

#include "chivedeal/core/mutex.hpp"

#include <algorithm>
#include <cerrno>
#include <ctime>

namespace chivedeal {

condition::condition()
{
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&m_condition, &attributes);
    pthread_condattr_destroy(&attributes);
}

condition::~condition() { pthread_cond_destroy(&m_condition); }

void condition::wait(mutex& held) { pthread_cond_wait(&m_condition, held.native_handle()); }

bool condition::wait_for(mutex& held, absl::Duration timeout)
{
    if (timeout == absl::InfiniteDuration()) {
        wait(held);
        return true;
    }
    timespec now{};
    clock_gettime(CLOCK_MONOTONIC, &now);
    const timespec until =
        absl::ToTimespec(absl::DurationFromTimespec(now) + std::max(timeout, absl::ZeroDuration()));
    return pthread_cond_timedwait(&m_condition, held.native_handle(), &until) != ETIMEDOUT;
}

void condition::notify_one() { pthread_cond_signal(&m_condition); }

void condition::notify_all() { pthread_cond_broadcast(&m_condition); }

} // namespace chivedeal
