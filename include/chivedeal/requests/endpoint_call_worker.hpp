#ifndef CHIVEDEAL_REQUESTS_ENDPOINT_CALL_WORKER_HPP
#define CHIVEDEAL_REQUESTS_ENDPOINT_CALL_WORKER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/requests/endpoint_command.hpp"
#include "chivedeal/requests/router_message.hpp"

#include <string>

namespace chivedeal::requests {

class endpoint_client;

/// Thread that cancels attempts and moves KV caches, so that these calls don't wait for a free
/// endpoint worker.
class endpoint_call_worker : public duty
{
public:
    struct options
    {
        endpoint_client& client;
        bounded_ring<endpoint_command>& endpoint_commands;
        bounded_ring<router_message>& router_inbox;
    };

    explicit endpoint_call_worker(options wiring);

    std::string name() const override { return "endpoint_call_worker"; }
    void run() override;
    void request_stop() override;

private:
    void execute(const cancel_attempt& order);
    void execute(const move_kv& order);

    options m_options;
};

} // namespace chivedeal::requests

#endif
