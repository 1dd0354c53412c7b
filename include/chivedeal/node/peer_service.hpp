#ifndef CHIVEDEAL_NODE_PEER_SERVICE_HPP
#define CHIVEDEAL_NODE_PEER_SERVICE_HPP

#include "chivedeal/membership/peer_handler.hpp"

namespace chivedeal::requests {
class router_port;
}

namespace chivedeal::state {
class published_state;
}

namespace chivedeal {

/// Serves peers from the published state and passes streams on to the router.
class peer_service : public membership::peer_handler
{
public:
    peer_service(const state::published_state& published, requests::router_port& router)
        : m_published(published), m_router(router)
    {}

    result<std::vector<state::log_entry>> records_from(std::uint64_t offset) override;
    result<std::string> snapshot() override;
    status hand_off(membership::stream_state stream) override;

private:
    const state::published_state& m_published;
    requests::router_port& m_router;
};

} // namespace chivedeal

#endif
