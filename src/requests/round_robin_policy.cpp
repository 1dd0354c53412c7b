#include "chivedeal/requests/round_robin_policy.hpp"

#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/requests/route_choice.hpp"
#include "chivedeal/requests/route_query.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include "absl/strings/str_cat.h"

#include <utility>

namespace chivedeal::requests {

void round_robin_policy::on_state(std::shared_ptr<const state::cluster_state> state)
{
    m_state = std::move(state);
}

void round_robin_policy::on_view(std::shared_ptr<const membership::membership_view> view,
                                 absl::Time /*now*/)
{
    m_view = std::move(view);
}

void round_robin_policy::on_load(const load_report& /*report*/, absl::Time /*now*/) {}

result<route_choice> round_robin_policy::choose(const route_query& query, absl::Time /*now*/)
{
    if (!m_state || !m_state->services.contains(query.service))
        return error{.code = result_code::unknown_service,
                     .message =
                         absl::StrCat("service '", query.service.str(), "' is not declared")};
    const std::size_t count = m_view ? m_view->endpoints.size() : 0;
    std::size_t& next = m_next[query.service];
    for (std::size_t i = 0; i < count; ++i) {
        const membership::endpoint& candidate = m_view->endpoints[(next + i) % count];
        if (candidate.service != query.service || query.excluded.contains(candidate.id) ||
            candidate.status == membership::endpoint_status::leaving)
            continue;
        next = (next + i + 1) % count;
        return route_choice{.target = candidate,
                            .score = 0,
                            .reason = "next_in_turn",
                            .candidates = candidate.id.str()};
    }
    return error{.code = result_code::no_endpoint,
                 .message = "no live endpoint of the service is listed"};
}

void round_robin_policy::on_attempt_started(const endpoint_id& /*endpoint*/,
                                            const route_query& /*query*/, absl::Time /*now*/)
{}

void round_robin_policy::on_attempt_ended(const endpoint_id& /*endpoint*/,
                                          const route_query& /*query*/, bool /*failed*/,
                                          absl::Time /*now*/)
{}

void round_robin_policy::on_cached(const endpoint_id& /*endpoint*/, const route_query& /*query*/,
                                   std::uint64_t /*cached_tokens*/, absl::Time /*now*/)
{}

} // namespace chivedeal::requests
