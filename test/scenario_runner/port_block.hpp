#ifndef TEST_SCENARIO_RUNNER_PORT_BLOCK_HPP
#define TEST_SCENARIO_RUNNER_PORT_BLOCK_HPP

#include "chivedeal/core/address.hpp"

#include <cstdint>

namespace chivedeal::scenario {

/// Loopback ports that no other runner and no outgoing connection uses while it lives.
///
/// Ports that the kernel names free are taken again by the time a slow process binds them: another
/// runner or any outgoing connection gets the same one.
class port_block
{
public:
    /// Throws `std::runtime_error` when all blocks are in use.
    port_block();
    ~port_block();
    port_block(const port_block&) = delete;
    port_block& operator=(const port_block&) = delete;

    /// Returns the next port of the block that nobody listens on.
    address next();

private:
    int m_guard = -1;
    std::uint16_t m_first = 0;
    std::uint16_t m_used = 0;
};

} // namespace chivedeal::scenario

#endif
