#ifndef CHIVEDEAL_REQUESTS_REQUEST_FLOW_HPP
#define CHIVEDEAL_REQUESTS_REQUEST_FLOW_HPP

#include "chivedeal/requests/flow_command.hpp"
#include "chivedeal/requests/flow_event.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <memory>
#include <vector>

namespace chivedeal::requests {

class route_policy;
struct route_choice;
struct route_query;

/// Owns all requests of the node from arrival to outcome. Pure: commands come back as values.
///
///     for (const flow_command& command : flow.handle(event, now))
///         execute(command);
class request_flow
{
public:
    explicit request_flow(route_policy& policy);
    ~request_flow();

    std::vector<flow_command> handle(const flow_event& event, absl::Time now);

    std::size_t open_requests() const { return m_requests.size(); }

private:
    class entry;
    class handler;

    route_policy& m_policy;
    std::shared_ptr<const state::cluster_state> m_state;
    absl::flat_hash_map<request_id, std::unique_ptr<entry>> m_requests;
};

} // namespace chivedeal::requests

#endif
