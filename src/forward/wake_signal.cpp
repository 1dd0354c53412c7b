#include "chivedeal/forward/wake_signal.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>

namespace chivedeal::forward {

wake_signal::wake_signal() : m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_descriptor < 0)
        throw std::system_error(errno, std::generic_category(), "eventfd");
}

wake_signal::~wake_signal() { ::close(m_descriptor); }

void wake_signal::raise()
{
    const std::uint64_t one = 1;
    // A full counter is readable already.
    [[maybe_unused]] const ssize_t written = write(m_descriptor, &one, sizeof one);
}

void wake_signal::clear()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t taken = read(m_descriptor, &count, sizeof count);
}

} // namespace chivedeal::forward
