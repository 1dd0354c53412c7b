#include "chivedeal/forward/sockets.hpp"

#include "absl/strings/str_cat.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace chivedeal::forward {

namespace {

constexpr int listen_backlog = 1024;
// A connection to an endpoint fails when sent data stays unacknowledged for this long. With the
// kernel's default, a connection across a network partition hangs for minutes.
constexpr absl::Duration endpoint_user_timeout = absl::Seconds(3);
// Keep-alive probes detect an unreachable peer while no data is being sent.
constexpr int keepalive_idle_s = 3;
constexpr int keepalive_interval_s = 1;
constexpr int max_keepalive_probes = 3;

sockaddr_in to_sockaddr(const address& value)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(value.port);
    inet_pton(AF_INET, value.host.c_str(), &out.sin_addr);
    return out;
}

void set_option(int descriptor, int level, int name, int value)
{
    setsockopt(descriptor, level, name, &value, sizeof value);
}

void set_tcp_options(int descriptor, absl::Duration user_timeout)
{
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<int>(absl::ToInt64Milliseconds(user_timeout)));
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, max_keepalive_probes);
}

error make_io_error(const char* action, const address& target)
{
    return {.code = result_code::io_error,
            .message = absl::StrCat(action, " ", to_string(target), ": ", std::strerror(errno))};
}

} // namespace

result<int> listen_tcp(const address& local)
{
    // A name would otherwise become the address of all interfaces.
    in_addr numeric{};
    if (inet_pton(AF_INET, local.host.c_str(), &numeric) != 1)
        return error{
            .code = result_code::io_error,
            .message = absl::StrCat("cannot listen on ", to_string(local), ": not an IPv4 number")};
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return make_io_error("cannot open a socket for", local);
    set_option(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    const sockaddr_in socket_address = to_sockaddr(local);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&socket_address),
             sizeof socket_address) != 0 ||
        listen(descriptor, listen_backlog) != 0) {
        const error failure = make_io_error("cannot listen on", local);
        ::close(descriptor);
        return failure;
    }
    return descriptor;
}

int accept_tcp(int listener, absl::Duration user_timeout)
{
    const int descriptor = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor >= 0)
        set_tcp_options(descriptor, user_timeout);
    return descriptor;
}

result<int> begin_connect(const address& remote)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return make_io_error("cannot open a socket for", remote);
    set_tcp_options(descriptor, endpoint_user_timeout);
    const sockaddr_in socket_address = to_sockaddr(remote);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&socket_address),
                sizeof socket_address) != 0 &&
        errno != EINPROGRESS) {
        const error failure = make_io_error("cannot connect to", remote);
        ::close(descriptor);
        return failure;
    }
    return descriptor;
}

int connect_error(int descriptor)
{
    int failure = 0;
    socklen_t size = sizeof failure;
    if (getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size) != 0)
        return errno;
    return failure;
}

std::size_t unacknowledged_bytes(int descriptor)
{
    int bytes = 0;
    if (ioctl(descriptor, SIOCOUTQ, &bytes) != 0 || bytes < 0)
        return 0;
    return static_cast<std::size_t>(bytes);
}

std::size_t unread_bytes(int descriptor)
{
    int bytes = 0;
    if (ioctl(descriptor, FIONREAD, &bytes) != 0 || bytes < 0)
        return 0;
    return static_cast<std::size_t>(bytes);
}

void set_buffer_sizes(int descriptor, int receive_bytes, int send_bytes)
{
    set_option(descriptor, SOL_SOCKET, SO_RCVBUF, receive_bytes);
    set_option(descriptor, SOL_SOCKET, SO_SNDBUF, send_bytes);
}

void discard_output_on_close(int descriptor)
{
    const linger discard{.l_onoff = 1, .l_linger = 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
}

result<int> bind_udp(const address& local)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return make_io_error("cannot open a socket for", local);
    const sockaddr_in socket_address = to_sockaddr(local);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&socket_address),
             sizeof socket_address) != 0) {
        const error failure = make_io_error("cannot bind", local);
        ::close(descriptor);
        return failure;
    }
    return descriptor;
}

bool send_datagram(int descriptor, const address& remote, const void* data, std::size_t size)
{
    const sockaddr_in socket_address = to_sockaddr(remote);
    return sendto(descriptor, data, size, 0, reinterpret_cast<const sockaddr*>(&socket_address),
                  sizeof socket_address) == static_cast<ssize_t>(size);
}

} // namespace chivedeal::forward
