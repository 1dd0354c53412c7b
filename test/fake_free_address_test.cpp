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

// What the kernel does to choose the port of an outgoing connection or of another free address.
bool is_taken(const address& at)
{
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(at.port);
    inet_pton(AF_INET, at.host.c_str(), &local.sin_addr);
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool taken = bind(probe, reinterpret_cast<sockaddr*>(&local), sizeof local) != 0;
    close(probe);
    return taken;
}

// A port that was only looked up went to an outgoing connection before the node listened on it.
TEST(free_address_test, holds_its_port_until_a_listener_takes_it)
{
    const address at = free_address();
    ASSERT_NE(at.port, 0);
    EXPECT_TRUE(is_taken(at));
    const auto listener = forward::listen_tcp(at);
    ASSERT_TRUE(is_ok(listener)) << get_error(listener).message;
    close(get_value(listener));
    EXPECT_TRUE(is_taken(at));
}

TEST(free_address_test, lets_an_http_server_listen_on_its_port)
{
    const address at = free_address();
    httplib::Server server;
    EXPECT_TRUE(server.bind_to_port(at.host, at.port));
}

} // namespace
} // namespace chivedeal::fakes
