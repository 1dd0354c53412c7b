#include "peer_work_queue.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <utility>

namespace chivedeal::membership {

namespace {

// Twice the open calls of the event loop; a full ring means that the loop is stuck.
constexpr std::size_t work_capacity = 1024;

} // namespace

peer_work_queue::peer_work_queue()
    : m_ring(work_capacity), m_wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_wake < 0)
        throw std::runtime_error("no descriptor left for the RPC thread");
}

peer_work_queue::~peer_work_queue() { ::close(m_wake); }

bool peer_work_queue::post(work item)
{
    if (!m_ring.try_push(std::move(item)))
        return false;
    wake();
    return true;
}

void peer_work_queue::close()
{
    m_ring.close();
    wake();
}

void peer_work_queue::wake() const
{
    const std::uint64_t one = 1;
    // Fails only when the counter is at its limit, and then the loop is woken anyway.
    [[maybe_unused]] const ssize_t written = write(m_wake, &one, sizeof one);
}

} // namespace chivedeal::membership
