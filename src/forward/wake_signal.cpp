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
    const std::uint64_t increment = 1;
    // If the counter is full the write fails, but the descriptor is readable already.
    [[maybe_unused]] const ssize_t written_bytes =
        write(m_descriptor, &increment, sizeof increment);
}

void wake_signal::clear()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t read_bytes = read(m_descriptor, &count, sizeof count);
}

} // namespace chivedeal::forward
