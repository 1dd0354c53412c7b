#ifndef CHIVEDEAL_REQUESTS_ROUTE_WORKER_HPP
#define CHIVEDEAL_REQUESTS_ROUTE_WORKER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/requests/route_job.hpp"
#include "chivedeal/requests/route_reply.hpp"

#include <string>
#include <vector>

namespace chivedeal::requests {

class route_handler;

/// Thread that runs the handlers of routes, which may block.
class route_worker : public duty
{
public:
    struct options
    {
        bounded_ring<route_job>& jobs;
        std::vector<const route_handler*> handlers;
    };

    explicit route_worker(options wiring);

    std::string name() const override { return "route_worker"; }
    void run() override;
    void request_stop() override;

private:
    route_reply reply_to(const route_call& call) const;

    options m_options;
};

} // namespace chivedeal::requests

#endif
