#include "chivedeal/requests/request_flow.hpp"

#include "flow_core.hpp"

#include <utility>

namespace chivedeal::requests {

request_flow::request_flow(options settings)
    : m_core(std::make_unique<detail::flow_core>(std::move(settings)))
{}

request_flow::~request_flow() = default;

std::vector<flow_command> request_flow::handle(const flow_event& event, absl::Time now)
{
    return m_core->handle(event, now);
}

std::size_t request_flow::open_requests() const { return m_core->open_requests(); }

std::map<workspace_id, double> request_flow::demand(absl::Time now)
{
    return m_core->limiter().demand(now);
}

std::map<workspace_id, int> request_flow::open_by_workspace() const
{
    return m_core->limiter().open_requests();
}

} // namespace chivedeal::requests
