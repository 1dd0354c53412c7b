#ifndef FAKES_MOVE_TRIAL_HPP
#define FAKES_MOVE_TRIAL_HPP

#include "chivedeal/control/lease_scope.hpp"
#include "chivedeal/control/move_inputs.hpp"
#include "chivedeal/control/rollout_policy.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace chivedeal::fakes {

enum class version_fault
{
    none,
    fails_at_once,
    five_points_more_errors,
    slow_answers,
    fails_during_bake,
    fails_at_full_load,
    fails_on_one_route,
};

struct move_trial_options
{
    std::uint64_t seed = 1;
    version_fault fault = version_fault::none;
    /// About the load that 20 servers of the language service carry.
    double requests_per_second = 30;
    absl::Duration deadline = absl::Minutes(40);
    absl::Duration bake = absl::Minutes(5);
    double error_share = 0.01;
    double slow_share = 0.04;
    /// If false, records have no effect.
    bool log_available = true;
    bool has_lease = true;
};

struct move_trial_result
{
    state::move_status status = state::move_status::open;
    std::string reason;
    absl::Duration finished_after;
    double max_share = 0;
    /// Requests that the new version served while it was faulty.
    double bad_requests = 0;
    double total_requests = 0;
    bool announced = false;
    /// Time from the start of the fault to the announcement or the end of the move.
    absl::Duration time_to_verdict;
};

/// Simulates one version move with three routes and four load bands; about half of the outcomes are
/// counted by another node. Each simulated second has Poisson arrivals and one policy evaluation.
class move_trial
{
public:
    explicit move_trial(move_trial_options settings) : m_options(settings), m_random(settings.seed)
    {
        m_state.services[service()] =
            std::make_shared<const state::service>(state::service{.name = service()});
        m_state.versions[{service(), new_version()}] =
            std::make_shared<const state::endpoint_version>(state::endpoint_version{
                .service = service(), .name = new_version(), .declared_offset = 7});
        m_move = {.service = service(),
                  .from = version_id("v1"),
                  .to = new_version(),
                  .deadline = start() + m_options.deadline,
                  .bake = m_options.bake,
                  .declared_offset = 8};
        m_view.endpoints = {
            {.id = endpoint_id("e2"), .service = service(), .version = new_version()}};
    }

    move_trial_result run(control::rollout_policy& policy)
    {
        const absl::Duration max_duration = m_options.deadline + absl::Minutes(1);
        for (absl::Duration t; t < max_duration && m_move.status == state::move_status::open;
             t += absl::Seconds(1)) {
            m_result.finished_after = t;
            if (!m_result.announced)
                add_second(t);
            evaluate(policy, t);
        }
        m_result.status = m_move.status;
        m_result.reason = m_move.reason;
        if (!m_result.announced)
            m_result.time_to_verdict = m_result.finished_after - m_fault_start;
        return m_result;
    }

    static service_id service() { return service_id("language"); }
    static version_id new_version() { return version_id("v2"); }
    static absl::Time start() { return absl::FromUnixSeconds(2'000'000); }

private:
    static constexpr std::array<double, 3> route_shares{0.6, 0.3, 0.1};
    static constexpr std::array<double, 4> band_shares{0.3, 0.3, 0.25, 0.15};

    bool has_fault(int route, int band, absl::Duration t) const
    {
        switch (m_options.fault) {
        case version_fault::none:
            return false;
        case version_fault::fails_during_bake:
            return m_fault_start > absl::ZeroDuration() && t >= m_fault_start;
        case version_fault::fails_at_full_load:
            return band == 3;
        case version_fault::fails_on_one_route:
            return route == 2;
        default:
            return true;
        }
    }

    double extra_error_share() const
    {
        switch (m_options.fault) {
        case version_fault::fails_at_once:
            return 0.9;
        case version_fault::five_points_more_errors:
            return 0.05;
        case version_fault::fails_during_bake:
        case version_fault::fails_at_full_load:
        case version_fault::fails_on_one_route:
            return 0.3;
        default:
            return 0;
        }
    }

    void add_second(absl::Duration t)
    {
        for (int route = 0; route < 3; ++route)
            for (int band = 0; band < 4; ++band) {
                const double mean =
                    m_options.requests_per_second * route_shares[route] * band_shares[band];
                add_outcomes(route, band, false, mean * (1 - m_move.share), t);
                add_outcomes(route, band, true, mean * m_move.share, t);
            }
    }

    void add_outcomes(int route, int band, bool is_new, double mean, absl::Duration t)
    {
        if (mean <= 0)
            return;
        const auto requests =
            static_cast<std::uint64_t>(std::poisson_distribution<>(mean)(m_random));
        m_result.total_requests += static_cast<double>(requests);
        const bool is_faulty = is_new && has_fault(route, band, t);
        if (is_faulty)
            m_result.bad_requests += static_cast<double>(requests);
        const double error_probability =
            m_options.error_share + (is_faulty ? extra_error_share() : 0);
        const double slow_probability =
            m_options.slow_share +
            (is_faulty && m_options.fault == version_fault::slow_answers ? 0.2 : 0);
        for (std::uint64_t i = 0; i < requests; ++i) {
            const bool is_own_node = std::bernoulli_distribution(0.5)(m_random);
            auto& counts = m_counts[{is_own_node, is_new, route, band}];
            counts.node = node_id(is_own_node ? "n1" : "n2");
            counts.service = service();
            counts.version = is_new ? new_version() : version_id("v1");
            counts.declared_offset = is_new ? 7 : 0;
            counts.route = std::string("r") + std::to_string(route);
            counts.load_band = band;
            ++counts.requests;
            counts.errors += std::bernoulli_distribution(error_probability)(m_random) ? 1 : 0;
            counts.slow += std::bernoulli_distribution(slow_probability)(m_random) ? 1 : 0;
        }
    }

    void evaluate(control::rollout_policy& policy, absl::Duration t)
    {
        const absl::Time now = start() + t;
        m_state.moves[service()] = std::make_shared<const state::version_move>(m_move);
        m_view.outcomes.clear();
        control::move_inputs inputs{.state = std::make_shared<const state::cluster_state>(m_state),
                                    .view = nullptr,
                                    .own_counts = {},
                                    .held = {},
                                    .wall_now = now};
        for (const auto& [key, counts] : m_counts)
            (std::get<0>(key) ? inputs.own_counts : m_view.outcomes).push_back(counts);
        inputs.view = std::make_shared<const membership::membership_view>(m_view);
        if (m_options.has_lease)
            inputs.held.leases = {{.scope = control::move_scope(service()),
                                   .fencing_token = 5,
                                   .first_grant_offset = 5,
                                   .acquired_at = start(),
                                   .expires_at = absl::InfiniteFuture()}};
        // The monotonic clock of the node differs from the wall clock.
        for (const auto& command : policy.handle(inputs, now - absl::Hours(9)))
            execute(command, t);
    }

    void execute(const control::move_command& command, absl::Duration t)
    {
        if (std::holds_alternative<membership::version_bad>(command)) {
            m_result.announced = true;
            m_result.time_to_verdict = t - m_fault_start;
        }
        if (!m_options.log_available || m_move.status != state::move_status::open)
            return;
        if (const auto* step = std::get_if<control::append_step>(&command)) {
            // The fault starts during the bake period, 30 s after the step to half of the traffic.
            if (m_options.fault == version_fault::fails_during_bake && step->step.share >= 0.5 &&
                m_fault_start == absl::ZeroDuration())
                m_fault_start = t + absl::Seconds(30);
            m_move.share = step->step.share;
            m_result.max_share = std::max(m_result.max_share, m_move.share);
        }
        if (const auto* outcome = std::get_if<state::move_outcome>(&command)) {
            m_move.status =
                outcome->done ? state::move_status::done : state::move_status::rolled_back;
            m_move.reason = outcome->reason;
        }
    }

    move_trial_options m_options;
    std::mt19937_64 m_random;
    state::cluster_state m_state;
    state::version_move m_move;
    membership::membership_view m_view;
    std::map<std::tuple<bool, bool, int, int>, membership::outcome_count> m_counts;
    move_trial_result m_result;
    absl::Duration m_fault_start;
};

} // namespace chivedeal::fakes

#endif
