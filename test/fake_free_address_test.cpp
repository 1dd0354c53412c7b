#include "chivedeal/forward/sockets.hpp"
#include "fakes/free_address.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chivedeal::fakes {
namespace {

// Binds without SO_REUSEADDR, as the kernel does to choose the port of an outgoing connection or of
// another free address.
bool is_bound(const address& at)
{
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(at.port);
    inet_pton(AF_INET, at.host.c_str(), &local.sin_addr);
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool is_in_use = bind(probe, reinterpret_cast<sockaddr*>(&local), sizeof local) != 0;
    close(probe);
    return is_in_use;
}

// Guards against a port that the kernel assigns to an outgoing connection after `free_address`
// returned it and before the node listens on it.
TEST(free_address_test, reserves_its_port_until_a_listener_binds_it)
{
    const address at = free_address();
    ASSERT_NE(at.port, 0);
    EXPECT_TRUE(is_bound(at));
    const auto listener = forward::listen_tcp(at);
    ASSERT_TRUE(is_ok(listener)) << get_error(listener).message;
    close(get_value(listener));
    EXPECT_TRUE(is_bound(at));
}

// Guards against a reservation that keeps the server under test from binding the port.
TEST(free_address_test, lets_an_http_server_listen_on_its_port)
{
    const address at = free_address();
    httplib::Server server;
    EXPECT_TRUE(server.bind_to_port(at.host, at.port));
}

} // namespace
} // namespace chivedeal::fakes
