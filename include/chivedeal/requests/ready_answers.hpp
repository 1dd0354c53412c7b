#ifndef CHIVEDEAL_REQUESTS_READY_ANSWERS_HPP
#define CHIVEDEAL_REQUESTS_READY_ANSWERS_HPP

#include "chivedeal/core/mutex.hpp"
#include "chivedeal/forward/wake_signal.hpp"

#include <cstdint>
#include <vector>

namespace chivedeal::requests {

/// The connections whose answers have news for the thread that owns the sockets. Its wake signal
/// interrupts that thread. Thread-safe.
class ready_answers
{
public:
    void add(std::uint64_t connection);
    std::vector<std::uint64_t> take();

    forward::wake_signal& wake() { return m_wake; }

private:
    mutex m_mutex;
    std::vector<std::uint64_t> m_connections;
    forward::wake_signal m_wake;
};

} // namespace chivedeal::requests

#endif
