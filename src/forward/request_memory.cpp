// The part of request_runner that accounts the memory of requests in progress.
#include "chivedeal/forward/request_runner.hpp"

#include "chivedeal/forward/caller_side.hpp"
#include "chivedeal/forward/endpoint_side.hpp"
#include "chivedeal/forward/memory_size.hpp"

namespace chivedeal::forward {

void request_runner::measure_request(exchange& current)
{
    current.request_bytes = size_in_memory(current.request);
    current.parsed_bytes = size_in_memory(current.head) + size_in_memory(current.query.prefix);
}

void request_runner::charge_request(const exchange& current, std::size_t unwritten_bytes)
{
    m_callers.charge_request(current.connection,
                             current.request_bytes + current.parsed_bytes + unwritten_bytes,
                             unwritten_bytes == 0 ? current.request_bytes : 0);
}

void request_runner::on_request_written(std::uint64_t exchange_id, absl::Time /*now*/)
{
    exchange* current = find_exchange(exchange_id);
    if (current == nullptr)
        return;
    if (current->rule.has_attempts_left())
        charge_request(*current, 0);
    else
        release_request(*current);
}

void request_runner::release_request(exchange& current)
{
    current.rule.end_attempts();
    current.request = {};
    current.request_bytes = 0;
    charge_request(current, 0);
}

void request_runner::on_release_requested(std::uint64_t connection)
{
    if (exchange* current = find_exchange_of(connection))
        release_request(*current);
}

void request_runner::on_shed(std::uint64_t connection, absl::Time now)
{
    exchange* current = find_exchange_of(connection);
    // A response that has begun can only be broken off.
    if (current == nullptr || current->relaying)
        return;
    m_endpoints.cancel(current->id);
    release_attempt(*current);
    finish_failed(*current, "requests use too much memory", now);
}

} // namespace chivedeal::forward
