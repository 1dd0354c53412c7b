#include "chivedeal/forward/poller.hpp"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace chivedeal::forward {

namespace {

constexpr std::size_t max_events_per_wait = 128;

epoll_event make_event(std::uint64_t id, bool read, bool write)
{
    epoll_event event{};
    event.events = (read ? EPOLLIN : 0U) | (write ? EPOLLOUT : 0U);
    event.data.u64 = id;
    return event;
}

} // namespace

poller::poller() : m_epoll_descriptor(epoll_create1(EPOLL_CLOEXEC))
{
    if (m_epoll_descriptor < 0)
        throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

poller::~poller() { ::close(m_epoll_descriptor); }

void poller::add(int descriptor, std::uint64_t id, bool read, bool write)
{
    epoll_event event = make_event(id, read, write);
    if (epoll_ctl(m_epoll_descriptor, EPOLL_CTL_ADD, descriptor, &event) != 0)
        throw std::system_error(errno, std::generic_category(), "epoll_ctl add");
}

void poller::change(int descriptor, std::uint64_t id, bool read, bool write)
{
    epoll_event event = make_event(id, read, write);
    epoll_ctl(m_epoll_descriptor, EPOLL_CTL_MOD, descriptor, &event);
}

void poller::remove(int descriptor)
{
    epoll_ctl(m_epoll_descriptor, EPOLL_CTL_DEL, descriptor, nullptr);
}

const std::vector<poller::ready>& poller::wait(absl::Duration timeout)
{
    std::array<epoll_event, max_events_per_wait> events{};
    // Rounds up, since rounding down would busy-loop in the last millisecond before a timer.
    const auto milliseconds = std::clamp<std::int64_t>(
        absl::ToInt64Milliseconds(timeout + absl::Microseconds(999)), 0, 60000);
    const int count = epoll_wait(m_epoll_descriptor, events.data(), max_events_per_wait,
                                 static_cast<int>(milliseconds));
    m_ready.clear();
    for (int i = 0; i < count; ++i)
        m_ready.push_back({.id = events[i].data.u64,
                           .readable = (events[i].events & EPOLLIN) != 0,
                           .writable = (events[i].events & EPOLLOUT) != 0,
                           .broken = (events[i].events & (EPOLLERR | EPOLLHUP)) != 0});
    return m_ready;
}

} // namespace chivedeal::forward
