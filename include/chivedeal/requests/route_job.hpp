#ifndef CHIVEDEAL_REQUESTS_ROUTE_JOB_HPP
#define CHIVEDEAL_REQUESTS_ROUTE_JOB_HPP

#include "chivedeal/requests/route_call.hpp"

#include <cstdint>
#include <memory>

namespace chivedeal::requests {

class route_replies;

/// A call that waits for a route worker.
struct route_job
{
    std::uint64_t connection = 0;
    route_call call;
    /// Receives the reply.
    std::shared_ptr<route_replies> replies;
};

} // namespace chivedeal::requests

#endif
