#ifndef FAKES_MOVE_TRIAL_HPP
#define FAKES_MOVE_TRIAL_HPP

#include "chivedeal/control/lease_scope.hpp"
#include "chivedeal/control/move_look.hpp"
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
    five_points,
    slow,
    later,
    under_load,
    one_route,
};

struct move_trial_options
{
    std::uint64_t seed = 1;
    version_fault fault = version_fault::none;
    /// About what 20 servers of the language service carry.
    double requests_per_second = 30;
    absl::Duration deadline = absl::Minutes(40);
    absl::Duration bake = absl::Minutes(5);
    double error_share = 0.01;
    double slow_share = 0.04;
    /// Whether records take effect.
    bool log_up = true;
    bool has_lease = true;
};

struct move_trial_result
{
    state::move_status status = state::move_status::open;
    std::string reason;
    absl::Duration finished;
    double highest_share = 0;
    /// Requests that the version served while its fault showed.
    double bad_requests = 0;
    double all_requests = 0;
    bool announced = false;
    /// From the start of the fault to the announcement or the end of the move.
    absl::Duration to_verdict;
};

/// One move under generated outcomes: three routes, four load bands, half of the counts from other
/// nodes. Each second has Poisson arrivals and one look.
class move_trial
{
public:
    explicit move_trial(move_trial_options settings) : m_options(settings), m_random(settings.seed)
    {
        m_state.services[service()] =
            std::make_shared<const state::service>(state::service{.name = service()});
        m_state.versions[{service(), to()}] = std::make_shared<const state::endpoint_version>(
            state::endpoint_version{.service = service(), .name = to(), .declared_offset = 7});
        m_move = {.service = service(),
                  .from = version_id("v1"),
                  .to = to(),
                  .deadline = start() + m_options.deadline,
                  .bake = m_options.bake,
                  .declared_offset = 8};
        m_view.endpoints = {{.id = endpoint_id("e2"), .service = service(), .version = to()}};
    }

    move_trial_result run(control::rollout_policy& policy)
    {
        const absl::Duration limit = m_options.deadline + absl::Minutes(1);
        for (absl::Duration t; t < limit && m_move.status == state::move_status::open;
             t += absl::Seconds(1)) {
            m_result.finished = t;
            if (!m_result.announced)
                serve(t);
            look(policy, t);
        }
        m_result.status = m_move.status;
        m_result.reason = m_move.reason;
        if (!m_result.announced)
            m_result.to_verdict = m_result.finished - m_fault_start;
        return m_result;
    }

    static service_id service() { return service_id("language"); }
    static version_id to() { return version_id("v2"); }
    static absl::Time start() { return absl::FromUnixSeconds(2'000'000); }

private:
    static constexpr std::array<double, 3> routes{0.6, 0.3, 0.1};
    static constexpr std::array<double, 4> bands{0.3, 0.3, 0.25, 0.15};

    bool shows(int route, int band, absl::Duration t) const
    {
        switch (m_options.fault) {
        case version_fault::none:
            return false;
        case version_fault::later:
            return m_fault_start > absl::ZeroDuration() && t >= m_fault_start;
        case version_fault::under_load:
            return band == 3;
        case version_fault::one_route:
            return route == 2;
        default:
            return true;
        }
    }

    double extra_errors() const
    {
        switch (m_options.fault) {
        case version_fault::fails_at_once:
            return 0.9;
        case version_fault::five_points:
            return 0.05;
        case version_fault::later:
        case version_fault::under_load:
        case version_fault::one_route:
            return 0.3;
        default:
            return 0;
        }
    }

    void serve(absl::Duration t)
    {
        for (int route = 0; route < 3; ++route)
            for (int band = 0; band < 4; ++band) {
                const double mean = m_options.requests_per_second * routes[route] * bands[band];
                count(route, band, false, mean * (1 - m_move.share), t);
                count(route, band, true, mean * m_move.share, t);
            }
    }

    void count(int route, int band, bool fresh, double mean, absl::Duration t)
    {
        if (mean <= 0)
            return;
        const auto requests =
            static_cast<std::uint64_t>(std::poisson_distribution<>(mean)(m_random));
        m_result.all_requests += static_cast<double>(requests);
        const bool bad = fresh && shows(route, band, t);
        if (bad)
            m_result.bad_requests += static_cast<double>(requests);
        const double errors = m_options.error_share + (bad ? extra_errors() : 0);
        const double slow =
            m_options.slow_share + (bad && m_options.fault == version_fault::slow ? 0.2 : 0);
        for (std::uint64_t i = 0; i < requests; ++i) {
            const bool own = std::bernoulli_distribution(0.5)(m_random);
            auto& counts = m_counts[{own, fresh, route, band}];
            counts.node = node_id(own ? "n1" : "n2");
            counts.service = service();
            counts.version = fresh ? to() : version_id("v1");
            counts.declared_offset = fresh ? 7 : 0;
            counts.route = std::string("r") + std::to_string(route);
            counts.load_band = band;
            ++counts.requests;
            counts.errors += std::bernoulli_distribution(errors)(m_random) ? 1 : 0;
            counts.slow += std::bernoulli_distribution(slow)(m_random) ? 1 : 0;
        }
    }

    void look(control::rollout_policy& policy, absl::Duration t)
    {
        const absl::Time now = start() + t;
        m_state.moves[service()] = std::make_shared<const state::version_move>(m_move);
        m_view.outcomes.clear();
        control::move_look seen{.state = std::make_shared<const state::cluster_state>(m_state),
                                .view = nullptr,
                                .own_counts = {},
                                .held = {},
                                .wall_now = now};
        for (const auto& [key, counts] : m_counts)
            (std::get<0>(key) ? seen.own_counts : m_view.outcomes).push_back(counts);
        seen.view = std::make_shared<const membership::membership_view>(m_view);
        if (m_options.has_lease)
            seen.held.leases = {{.scope = control::move_scope(service()),
                                 .fence = 5,
                                 .grant = 5,
                                 .since = start(),
                                 .expires = absl::InfiniteFuture()}};
        // The monotonic clock of the node differs from the calendar.
        for (const auto& command : policy.handle(seen, now - absl::Hours(9)))
            execute(command, t);
    }

    void execute(const control::move_command& command, absl::Duration t)
    {
        if (std::holds_alternative<membership::version_bad>(command)) {
            m_result.announced = true;
            m_result.to_verdict = t - m_fault_start;
        }
        if (!m_options.log_up || m_move.status != state::move_status::open)
            return;
        if (const auto* step = std::get_if<control::append_step>(&command)) {
            // The late fault begins within the bake, half a minute after most shares have risen.
            if (m_options.fault == version_fault::later && step->step.share >= 0.5 &&
                m_fault_start == absl::ZeroDuration())
                m_fault_start = t + absl::Seconds(30);
            m_move.share = step->step.share;
            m_result.highest_share = std::max(m_result.highest_share, m_move.share);
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
