#ifndef CHIVEDEAL_CORE_POSIX_THREAD_HPP
#define CHIVEDEAL_CORE_POSIX_THREAD_HPP

#include <pthread.h>

#include <functional>
#include <string>

namespace chivedeal {

/// A joined-on-destruction POSIX thread.
///
///     posix_thread thread("router", [&] { router.run(); });
class posix_thread
{
public:
    /// `name` is cut to 15 characters, the kernel's limit. Throws `std::system_error` when the
    /// thread can't be started.
    posix_thread(std::string name, std::function<void()> body);
    ~posix_thread();
    posix_thread(const posix_thread&) = delete;
    posix_thread& operator=(const posix_thread&) = delete;

    void join();

private:
    static void* start(void* self);

    std::string m_name;
    std::function<void()> m_body;
    pthread_t m_thread{};
    bool m_joined = false;
};

} // namespace chivedeal

#endif
