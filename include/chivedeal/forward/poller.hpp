#ifndef CHIVEDEAL_FORWARD_POLLER_HPP
#define CHIVEDEAL_FORWARD_POLLER_HPP

#include "absl/time/time.h"

#include <cstdint>
#include <vector>

namespace chivedeal::forward {

/// Waits for readiness of many sockets by epoll, level triggered.
class poller
{
public:
    struct ready
    {
        std::uint64_t id = 0;
        bool readable = false;
        bool writable = false;
        /// Error or hang-up of both directions.
        bool broken = false;
    };

    poller();
    ~poller();
    poller(const poller&) = delete;
    poller& operator=(const poller&) = delete;

    void add(int descriptor, std::uint64_t id, bool read, bool write);
    void change(int descriptor, std::uint64_t id, bool read, bool write);
    void remove(int descriptor);

    /// Sleeps until a socket is ready, at most `timeout`.
    const std::vector<ready>& wait(absl::Duration timeout);

private:
    int m_epoll;
    std::vector<ready> m_ready;
};

} // namespace chivedeal::forward

#endif
