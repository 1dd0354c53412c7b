#include "chivedeal/requests/route_worker.hpp"

#include "chivedeal/requests/route_handler.hpp"
#include "chivedeal/requests/route_replies.hpp"

#include <exception>
#include <utility>

namespace chivedeal::requests {

route_worker::route_worker(options wiring) : m_options(std::move(wiring)) {}

void route_worker::run()
{
    while (const auto job = m_options.jobs.pop()) {
        try {
            job->replies->add(job->connection, reply_to(job->call));
        }
        catch (const std::exception&) {
            // The caller gets a response before the supervisor restarts this thread.
            job->replies->add(job->connection, {.status = 500});
            throw;
        }
    }
}

void route_worker::request_stop() { m_options.jobs.close(); }

route_reply route_worker::reply_to(const route_call& call) const
{
    for (const route_handler* handler : m_options.handlers)
        if (auto reply = handler->handle(call))
            return *std::move(reply);
    return {.status = 404};
}

} // namespace chivedeal::requests
