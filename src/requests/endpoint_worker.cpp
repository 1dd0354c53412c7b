#include "chivedeal/requests/endpoint_worker.hpp"

#include "chivedeal/requests/endpoint_client.hpp"

#include <exception>
#include <utility>

namespace chivedeal::requests {

endpoint_worker::endpoint_worker(options wiring) : m_options(wiring) {}

void endpoint_worker::run()
{
    const auto report = [this](attempt_event event) {
        return m_options.router_inbox.push({.event = std::move(event), .reply = nullptr});
    };
    while (const auto start = m_options.attempts.pop()) {
        try {
            m_options.client.run(*start, report);
        }
        catch (const std::exception& exception) {
            // Report an outcome for the attempt before the supervisor restarts this thread.
            report({.request = start->request,
                    .attempt = start->attempt,
                    .body = attempt_failed{.reason = {.code = result_code::endpoint_lost,
                                                      .message = exception.what()}}});
            throw;
        }
    }
}

void endpoint_worker::request_stop() { m_options.attempts.close(); }

} // namespace chivedeal::requests
