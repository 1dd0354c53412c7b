#ifndef CHIVEDEAL_FORWARD_POLLER_HPP
#define CHIVEDEAL_FORWARD_POLLER_HPP

#include "absl/time/time.h"

#include <cstdint>
#include <vector>

namespace chivedeal::forward {

/// Waits for readiness of many sockets with level-triggered epoll.
class poller
{
public:
    struct ready
    {
        std::uint64_t id = 0;
        bool readable = false;
        bool writable = false;
        /// An error occurred or both directions are shut down.
        bool broken = false;
    };

    poller();
    ~poller();
    poller(const poller&) = delete;
    poller& operator=(const poller&) = delete;

    void add(int descriptor, std::uint64_t id, bool read, bool write);
    void change(int descriptor, std::uint64_t id, bool read, bool write);
    void remove(int descriptor);

    /// Blocks until a socket is ready, or for `timeout` and at most a minute. The result is valid
    /// until the next call.
    const std::vector<ready>& wait(absl::Duration timeout);

private:
    int m_epoll_descriptor;
    std::vector<ready> m_ready;
};

} // namespace chivedeal::forward

#endif
