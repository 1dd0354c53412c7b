#ifndef CHIVEDEAL_SRC_CONTROL_HTTP_CLIENT_HPP
#define CHIVEDEAL_SRC_CONTROL_HTTP_CLIENT_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/bounded_http_client.hpp"

#include <chrono>
#include <memory>

namespace chivedeal::control::detail {

constexpr int http_conflict = 409;

/// Creates a client for calls to the cloud platform or an engine. Each timeout is shorter than the
/// retry interval of orders, so that retries do not pile up.
inline std::unique_ptr<bounded_http_client> make_http_client(const address& target)
{
    constexpr auto timeout = std::chrono::milliseconds(2000);
    auto client = std::make_unique<bounded_http_client>(target);
    client->set_connection_timeout(timeout);
    client->set_read_timeout(timeout);
    return client;
}

} // namespace chivedeal::control::detail

#endif
