#ifndef CHIVEDEAL_CORE_MUTEX_HPP
#define CHIVEDEAL_CORE_MUTEX_HPP

#include <pthread.h>

namespace chivedeal {

/// A POSIX mutex. Not `absl::Mutex`: Debian's Abseil is built without the thread sanitizer's
/// annotations, which then reports false races on what the mutex guards.
class mutex
{
public:
    mutex() = default;
    ~mutex() { pthread_mutex_destroy(&m_mutex); }
    mutex(const mutex&) = delete;
    mutex& operator=(const mutex&) = delete;

    void lock() { pthread_mutex_lock(&m_mutex); }
    void unlock() { pthread_mutex_unlock(&m_mutex); }
    pthread_mutex_t* native_handle() { return &m_mutex; }

private:
    pthread_mutex_t m_mutex = PTHREAD_MUTEX_INITIALIZER;
};

} // namespace chivedeal

#endif
