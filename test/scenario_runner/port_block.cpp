#include "test/scenario_runner/port_block.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace chivedeal::scenario {

namespace {

// Below 32768, where Linux takes the ports of outgoing connections from.
constexpr std::uint16_t lowest_port = 20'000;
constexpr std::uint16_t blocks = 180;
// A scenario starts at most a few dozen processes with two ports each.
constexpr std::uint16_t block_size = 64;

// Returns a bound socket, or -1 when the port is in use.
int bind_to(std::uint16_t port)
{
    const int bound = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    local.sin_port = htons(port);
    if (bind(bound, reinterpret_cast<const sockaddr*>(&local), sizeof local) == 0)
        return bound;
    close(bound);
    return -1;
}

} // namespace

// The first port of a block is the lock of the block.
port_block::port_block()
{
    const auto start = static_cast<std::uint16_t>(getpid() % blocks);
    for (std::uint16_t i = 0; i < blocks && m_guard < 0; ++i) {
        m_first = static_cast<std::uint16_t>(lowest_port + (start + i) % blocks * block_size);
        m_guard = bind_to(m_first);
    }
    if (m_guard < 0)
        throw std::runtime_error("all port blocks are in use");
}

port_block::~port_block() { close(m_guard); }

address port_block::next()
{
    while (++m_used < block_size) {
        const auto port = static_cast<std::uint16_t>(m_first + m_used);
        const int probe = bind_to(port);
        if (probe < 0)
            continue;
        close(probe);
        return {.host = "127.0.0.1", .port = port};
    }
    throw std::runtime_error("the scenario needs more ports than a block has");
}

} // namespace chivedeal::scenario
