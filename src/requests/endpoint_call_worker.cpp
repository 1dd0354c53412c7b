#include "chivedeal/requests/endpoint_call_worker.hpp"

#include "chivedeal/requests/endpoint_client.hpp"

#include <variant>

namespace chivedeal::requests {

endpoint_call_worker::endpoint_call_worker(options wiring) : m_options(wiring) {}

void endpoint_call_worker::run()
{
    while (const auto order = m_options.endpoint_commands.pop())
        std::visit([this](const auto& call) { execute(call); }, *order);
}

void endpoint_call_worker::request_stop() { m_options.endpoint_commands.close(); }

void endpoint_call_worker::execute(const cancel_attempt& order) { m_options.client.cancel(order); }

void endpoint_call_worker::execute(const move_kv& order)
{
    const result<std::string> handle = m_options.client.move(order);
    (void)m_options.router_inbox.push(
        {.event = kv_moved{.request = order.request,
                           .attempt = order.attempt,
                           .target = order.target,
                           .handle = is_ok(handle) ? get_value(handle) : std::string()},
         .reply = nullptr});
}

} // namespace chivedeal::requests
