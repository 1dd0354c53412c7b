#ifndef CHIVEDEAL_REQUESTS_ROUTER_HPP
#define CHIVEDEAL_REQUESTS_ROUTER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/requests/answer_event.hpp"
#include "chivedeal/requests/attempt_start.hpp"
#include "chivedeal/requests/request_flow.hpp"
#include "chivedeal/requests/router_message.hpp"

#include "absl/container/flat_hash_map.h"

#include <memory>
#include <string>

namespace chivedeal {
class clock;
}

namespace chivedeal::requests {

class route_policy;

/// Thread that moves events between the rings and the request flow.
class router : public duty
{
public:
    struct options
    {
        const clock& time;
        std::shared_ptr<route_policy> policy;
        bounded_ring<router_message>& inbox;
        bounded_ring<attempt_start>& attempts;
    };

    explicit router(options wiring);
    ~router() override;

    std::string name() const override { return "router"; }
    void run() override;
    void request_stop() override;

private:
    void execute(const flow_command& command);

    options m_options;
    request_flow m_flow;
    absl::flat_hash_map<request_id, std::shared_ptr<bounded_ring<answer_event>>> m_replies;
};

} // namespace chivedeal::requests

#endif
