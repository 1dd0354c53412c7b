#include "chivedeal/node/peer_service.hpp"

#include "chivedeal/membership/stream_state.hpp"
#include "chivedeal/requests/router_port.hpp"
#include "chivedeal/state/log_entry.hpp"
#include "chivedeal/state/published_state.hpp"

#include <utility>

namespace chivedeal {

result<std::vector<state::log_entry>> peer_service::records_from(std::uint64_t offset)
{
    return m_published.records_from(offset);
}

result<std::string> peer_service::snapshot() { return m_published.snapshot(); }

status peer_service::hand_off(membership::stream_state stream)
{
    return m_router.take_over(std::move(stream));
}

} // namespace chivedeal
