#ifndef CHIVEDEAL_MEMBERSHIP_PEER_HANDLER_HPP
#define CHIVEDEAL_MEMBERSHIP_PEER_HANDLER_HPP

#include "chivedeal/core/result.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chivedeal::state {
struct log_entry;
}

namespace chivedeal::membership {

struct stream_state;

/// Serves the calls of peers. Runs in the RPC thread, so an implementation does not block.
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    virtual result<std::vector<state::log_entry>> records_from(std::uint64_t offset) = 0;
    virtual result<std::string> snapshot() = 0;
    virtual status hand_off(stream_state stream) = 0;
};

} // namespace chivedeal::membership

#endif
