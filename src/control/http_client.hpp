#ifndef CHIVEDEAL_SRC_CONTROL_HTTP_CLIENT_HPP
#define CHIVEDEAL_SRC_CONTROL_HTTP_CLIENT_HPP

#include "chivedeal/core/address.hpp"

#include <httplib.h>

#include <chrono>

namespace chivedeal::control::detail {

constexpr int http_conflict = 409;

/// Creates a client for calls to the cloud platform or an engine. Each timeout is shorter than the
/// retry interval of orders, so that retries do not pile up.
inline httplib::Client make_http_client(const address& target)
{
    constexpr auto timeout = std::chrono::milliseconds(2000);
    httplib::Client client(target.host, target.port);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    return client;
}

} // namespace chivedeal::control::detail

#endif
