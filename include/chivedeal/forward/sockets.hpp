#ifndef CHIVEDEAL_FORWARD_SOCKETS_HPP
#define CHIVEDEAL_FORWARD_SOCKETS_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/result.hpp"

#include "absl/time/time.h"

#include <cstddef>

namespace chivedeal::forward {

/// Opens a non-blocking TCP listener. Errors: `io_error`.
result<int> listen_tcp(const address& local);

/// Accepts a connection and makes it non-blocking. It fails when sent data stays unacknowledged, or
/// the peer reads nothing, for `user_timeout`. Returns -1 if none is pending.
int accept_tcp(int listener, absl::Duration user_timeout);

/// Starts a non-blocking connection attempt. Errors: `io_error`.
result<int> begin_connect(const address& remote);

/// Returns the errno of a finished connection attempt, 0 if it succeeded.
int connect_error(int descriptor);

/// Returns the number of sent bytes that the peer's host has not acknowledged, 0 if the kernel
/// doesn't tell.
std::size_t unacknowledged_bytes(int descriptor);

/// Returns the number of received bytes that the process has not read yet.
std::size_t unread_bytes(int descriptor);

/// Sets the sizes of the kernel's buffers. Accepted connections take over those of the listener.
void set_buffer_sizes(int descriptor, int receive_bytes, int send_bytes);

/// Makes the close of a connection discard its unsent output, which the kernel otherwise keeps until
/// the peer has read it.
void discard_output_on_close(int descriptor);

/// Opens a non-blocking UDP socket. Errors: `io_error`.
result<int> bind_udp(const address& local);

bool send_datagram(int descriptor, const address& remote, const void* data, std::size_t size);

} // namespace chivedeal::forward

#endif
