#include "chivedeal/control/fixed_step_policy.hpp"

#include "chivedeal/control/lease_scope.hpp"
#include "chivedeal/control/move_inputs.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include <algorithm>
#include <array>

namespace chivedeal::control {

namespace {

constexpr std::array<double, 3> step_shares{0.1, 0.25, 0.5};

bool exceeds_error_threshold(const move_inputs& inputs, const state::version_move& move,
                             double threshold, double min_requests)
{
    double requests = 0;
    double errors = 0;
    for (const auto* counts : {&inputs.own_counts, &inputs.view->outcomes})
        for (const membership::outcome_count& count : *counts)
            if (count.service == move.service && count.version == move.to) {
                requests += static_cast<double>(count.requests);
                errors += static_cast<double>(count.errors);
            }
    return requests >= min_requests && errors > threshold * requests;
}

} // namespace

std::vector<move_command> fixed_step_policy::handle(const move_inputs& inputs, absl::Time now)
{
    std::vector<move_command> out;
    for (const auto& [service, move] : inputs.state->moves) {
        if (move->status != state::move_status::open) {
            m_started_at.erase(service);
            continue;
        }
        const auto lease = inputs.held.find(move_scope(service), now);
        if (!lease)
            continue;
        if (exceeds_error_threshold(inputs, *move, m_options.error_threshold,
                                    m_options.min_requests)) {
            out.emplace_back(state::move_outcome{.service = service,
                                                 .version = move->to,
                                                 .done = false,
                                                 .reason = "error rate is above the threshold",
                                                 .move_offset = move->declared_offset});
            continue;
        }
        const absl::Time start = m_started_at.try_emplace(service, now).first->second;
        const auto step = static_cast<std::size_t>((now - start) / m_options.step_duration);
        if (step >= step_shares.size())
            out.emplace_back(state::move_outcome{.service = service,
                                                 .version = move->to,
                                                 .done = true,
                                                 .reason = "all steps completed",
                                                 .move_offset = move->declared_offset});
        else if (step_shares[step] > move->share)
            out.emplace_back(append_step{.step = {.service = service,
                                                  .version = move->to,
                                                  .share = step_shares[step],
                                                  .scope = move_scope(service),
                                                  .lease_offset = lease->fencing_token,
                                                  .move_offset = move->declared_offset},
                                         .evidence = "step interval elapsed"});
    }
    return out;
}

} // namespace chivedeal::control
