#ifndef FAKES_FAKE_PEER_HANDLER_HPP
#define FAKES_FAKE_PEER_HANDLER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/membership/peer_handler.hpp"
#include "chivedeal/membership/stream_state.hpp"
#include "chivedeal/state/log_entry.hpp"

#include <utility>

namespace chivedeal::fakes {

/// Holds two records and a snapshot; takes one stream and refuses more.
class fake_peer_handler : public membership::peer_handler
{
public:
    result<std::vector<state::log_entry>> records_from(std::uint64_t offset) override
    {
        if (offset > 2)
            return error{.code = result_code::log_truncated, .message = "not kept"};
        return std::vector<state::log_entry>{{1, "{\"a\":1}"}, {2, "{\"b\":2}"}};
    }

    result<std::string> snapshot() override { return std::string("snap\0shot", 9); }

    status hand_off(membership::stream_state stream) override
    {
        if (!streams.try_push(std::move(stream)))
            return error{.code = result_code::ring_full, .message = "no room"};
        return ok_status();
    }

    bounded_ring<membership::stream_state> streams{1};
};

} // namespace chivedeal::fakes

#endif
