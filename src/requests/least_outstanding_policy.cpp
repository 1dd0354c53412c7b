#include "chivedeal/requests/least_outstanding_policy.hpp"

#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/requests/route_choice.hpp"
#include "chivedeal/requests/route_query.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include "absl/strings/str_cat.h"

#include <utility>

namespace chivedeal::requests {

void least_outstanding_policy::on_state(std::shared_ptr<const state::cluster_state> state)
{
    m_state = std::move(state);
}

void least_outstanding_policy::on_view(std::shared_ptr<const membership::membership_view> view,
                                       absl::Time /*now*/)
{
    m_view = std::move(view);
}

void least_outstanding_policy::on_load(const load_report& /*report*/, absl::Time /*now*/) {}

result<route_choice> least_outstanding_policy::choose(const route_query& query, absl::Time /*now*/)
{
    if (!m_state || !m_state->services.contains(query.service))
        return error{.code = result_code::unknown_service,
                     .message =
                         absl::StrCat("service '", query.service.str(), "' is not declared")};
    const membership::endpoint* best = nullptr;
    int fewest = 0;
    int candidate_count = 0;
    for (const membership::endpoint& candidate : m_view->endpoints) {
        if (candidate.service != query.service || query.excluded.contains(candidate.id) ||
            candidate.status == membership::endpoint_status::leaving)
            continue;
        ++candidate_count;
        const int outstanding = m_outstanding[candidate.id];
        if (best != nullptr && outstanding >= fewest)
            continue;
        best = &candidate;
        fewest = outstanding;
    }
    if (best == nullptr)
        return error{.code = result_code::no_endpoint,
                     .message = "no live endpoint of the service is listed"};
    return route_choice{.target = *best,
                        .score = static_cast<double>(fewest),
                        .reason = "fewest_outstanding",
                        .candidates = absl::StrCat(candidate_count, "_endpoints")};
}

void least_outstanding_policy::on_attempt_started(const endpoint_id& endpoint,
                                                  const route_query& /*query*/, absl::Time /*now*/)
{
    ++m_outstanding[endpoint];
}

void least_outstanding_policy::on_attempt_ended(const endpoint_id& endpoint,
                                                const route_query& /*query*/, bool /*failed*/,
                                                absl::Time /*now*/)
{
    if (--m_outstanding[endpoint] <= 0)
        m_outstanding.erase(endpoint);
}

void least_outstanding_policy::on_cached(const endpoint_id& /*endpoint*/,
                                         const route_query& /*query*/,
                                         std::uint64_t /*cached_tokens*/, absl::Time /*now*/)
{}

} // namespace chivedeal::requests
