#ifndef CHIVEDEAL_REQUESTS_ENDPOINT_WORKER_HPP
#define CHIVEDEAL_REQUESTS_ENDPOINT_WORKER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/requests/attempt_start.hpp"
#include "chivedeal/requests/router_message.hpp"

#include <string>

namespace chivedeal::requests {

class endpoint_client;

/// Thread that runs one attempt at a time and reports its events to the router.
class endpoint_worker : public duty
{
public:
    struct options
    {
        endpoint_client& client;
        bounded_ring<attempt_start>& attempts;
        bounded_ring<router_message>& router_inbox;
    };

    explicit endpoint_worker(options wiring);

    std::string name() const override { return "endpoint_worker"; }
    void run() override;
    void request_stop() override;

private:
    options m_options;
};

} // namespace chivedeal::requests

#endif
