#include "chivedeal/control/move_policy.hpp"

#include "chivedeal/control/lease_scope.hpp"
#include "chivedeal/control/move_inputs.hpp"
#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace chivedeal::control {

namespace {

using state::version_move;

constexpr double first_proven_share = 0.25;
// At half of the traffic the comparison needs the fewest requests and the old version stays warm.
constexpr double bake_share = 0.5;
constexpr double final_step_share = 0.9;
constexpr double full_share = 1;
// Reserved before the deadline for appending the outcome and reading it back.
constexpr absl::Duration deadline_margin = absl::Seconds(5);
// Longer than an append and its read-back usually take. A repeated record has no further effect.
constexpr absl::Duration retry_interval = absl::Seconds(2);
// Other nodes wait this long before they act in place of the lease holder or of the node that found
// the version bad.
constexpr absl::Duration failover_delay = absl::Seconds(10);

std::uint64_t declared_offset(const state::cluster_state& state, const service_id& service,
                              const version_id& version)
{
    const auto found = state.versions.find({service, version});
    return found == state.versions.end() ? 0 : found->second->declared_offset;
}

bool has_live_endpoint(const membership::membership_view& view, const version_move& move)
{
    return std::any_of(
        view.endpoints.begin(), view.endpoints.end(), [&](const membership::endpoint& candidate) {
            return candidate.service == move.service && candidate.version == move.to &&
                   candidate.status == membership::endpoint_status::live;
        });
}

// Returns the time to stay at a share: `slack` divided by the remaining steps, at most the bake
// period.
absl::Duration dwell_time(absl::Duration slack, int steps, absl::Duration bake)
{
    return std::clamp(slack / steps, absl::ZeroDuration(), bake);
}

} // namespace

class move_policy::move_tracker
{
public:
    move_tracker(const move_inputs& inputs, const version_move& move)
        : m_evidence({.service = move.service,
                      .from = move.from,
                      .from_offset = declared_offset(*inputs.state, move.service, move.from),
                      .to = move.to,
                      .to_offset = declared_offset(*inputs.state, move.service, move.to)}),
          m_move_offset(move.declared_offset),
          m_to_offset(declared_offset(*inputs.state, move.service, move.to)),
          m_from_offset(declared_offset(*inputs.state, move.service, move.from))
    {}

    bool matches(const move_inputs& inputs, const version_move& move) const
    {
        return m_move_offset == move.declared_offset &&
               m_to_offset == declared_offset(*inputs.state, move.service, move.to) &&
               m_from_offset == declared_offset(*inputs.state, move.service, move.from);
    }

    void decide(const move_inputs& inputs, const version_move& move, absl::Time now,
                std::vector<move_command>& out);

private:
    void observe(const move_inputs& inputs, const version_move& move, absl::Time now);
    std::optional<std::string> rollback_reason(const move_inputs& inputs,
                                               const version_move& move) const;
    void roll_back(const move_inputs& inputs, const version_move& move, const std::string& reason,
                   absl::Time now, std::vector<move_command>& out);
    bool may_advance(const move_inputs& inputs, const version_move& move, absl::Duration remaining,
                     absl::Time now) const;
    double next_share(const move_inputs& inputs, const version_move& move, absl::Duration remaining,
                      absl::Time now) const;
    std::string unfinished_reason(const move_inputs& inputs, const version_move& move) const;

    move_evidence m_evidence;
    std::uint64_t m_move_offset;
    std::uint64_t m_to_offset;
    std::uint64_t m_from_offset;
    std::shared_ptr<const membership::membership_view> m_last_view;
    double m_last_share = -1;
    absl::Time m_share_since;
    absl::Time m_bad_since = absl::InfiniteFuture();
    absl::Time m_next_append_at = absl::InfinitePast();
    bool m_announced = false;
};

std::vector<move_command> move_policy::handle(const move_inputs& inputs, absl::Time now)
{
    std::vector<move_command> out;
    for (const auto& [service, move] : inputs.state->moves) {
        if (move->status != state::move_status::open) {
            m_trackers.erase(service);
            continue;
        }
        std::shared_ptr<move_tracker>& current = m_trackers[service];
        if (!current || !current->matches(inputs, *move))
            current = std::make_shared<move_tracker>(inputs, *move);
        current->decide(inputs, *move, now, out);
    }
    std::erase_if(m_trackers,
                  [&](const auto& entry) { return !inputs.state->moves.contains(entry.first); });
    return out;
}

void move_policy::move_tracker::decide(const move_inputs& inputs, const version_move& move,
                                       absl::Time now, std::vector<move_command>& out)
{
    observe(inputs, move, now);
    if (is_enabled(mechanism::version_rollback)) {
        if (const auto reason = rollback_reason(inputs, move)) {
            roll_back(inputs, move, *reason, now, out);
            return;
        }
    }
    const absl::Duration remaining = move.deadline - inputs.wall_now;
    if (now < m_next_append_at || !may_advance(inputs, move, remaining, now))
        return;
    const double share = next_share(inputs, move, remaining, now);
    if (share >= full_share) {
        out.emplace_back(state::move_outcome{.service = move.service,
                                             .version = move.to,
                                             .done = true,
                                             .reason = m_evidence.describe(),
                                             .move_offset = move.declared_offset});
    }
    else if (remaining <= absl::ZeroDuration()) {
        out.emplace_back(state::move_outcome{.service = move.service,
                                             .version = move.to,
                                             .done = false,
                                             .reason = unfinished_reason(inputs, move),
                                             .move_offset = move.declared_offset});
    }
    else if (share > move.share) {
        const std::string scope = move_scope(move.service);
        out.emplace_back(
            append_step{.step = {.service = move.service,
                                 .version = move.to,
                                 .share = share,
                                 .scope = scope,
                                 .lease_offset = inputs.held.find(scope, now)->fencing_token,
                                 .move_offset = move.declared_offset},
                        .evidence = m_evidence.describe()});
    }
    else {
        return;
    }
    m_next_append_at = now + retry_interval;
}

void move_policy::move_tracker::observe(const move_inputs& inputs, const version_move& move,
                                        absl::Time now)
{
    const bool is_first = m_last_share < 0;
    if (move.share != m_last_share) {
        m_evidence.close_batches();
        m_last_share = move.share;
        m_share_since = now;
        m_next_append_at = absl::InfinitePast();
    }
    // Outcomes from before the first step are not evidence. A node that starts during a move uses
    // all outcomes counted since then.
    if (is_first && move.share <= 0) {
        m_evidence.set_baseline(inputs.own_counts);
        m_evidence.set_baseline(inputs.view->outcomes);
        m_last_view = inputs.view;
        return;
    }
    m_evidence.add(inputs.own_counts);
    if (inputs.view != m_last_view)
        m_evidence.add(inputs.view->outcomes);
    m_last_view = inputs.view;
}

std::optional<std::string>
move_policy::move_tracker::rollback_reason(const move_inputs& inputs,
                                           const version_move& move) const
{
    for (const membership::version_bad& bad_version : inputs.view->bad_versions)
        if (bad_version.service == move.service && bad_version.version == move.to &&
            bad_version.declared_offset == m_to_offset)
            return bad_version.reason;
    const auto verdict = inputs.state->bad_versions.find({move.service, move.to});
    if (verdict != inputs.state->bad_versions.end() && verdict->second == m_to_offset)
        return "the version was found bad before";
    if (m_evidence.is_bad())
        return m_evidence.describe();
    return std::nullopt;
}

void move_policy::move_tracker::roll_back(const move_inputs& inputs, const version_move& move,
                                          const std::string& reason, absl::Time now,
                                          std::vector<move_command>& out)
{
    const auto verdict = inputs.state->bad_versions.find({move.service, move.to});
    const bool verdict_in_log =
        verdict != inputs.state->bad_versions.end() && verdict->second == m_to_offset;
    if (m_bad_since == absl::InfiniteFuture()) {
        m_bad_since = now;
        m_next_append_at = absl::InfinitePast();
    }
    // Announce by gossip first: it works without the log and stops the traffic immediately.
    if (m_evidence.is_bad() && !m_announced) {
        m_announced = true;
        out.emplace_back(membership::version_bad{.service = move.service,
                                                 .version = move.to,
                                                 .declared_offset = m_to_offset,
                                                 .reason = reason});
    }
    const bool should_append = m_announced || inputs.held.find(move_scope(move.service), now) ||
                               now >= m_bad_since + failover_delay;
    if (!should_append || now < m_next_append_at)
        return;
    m_next_append_at = now + retry_interval;
    if (!verdict_in_log)
        out.emplace_back(state::version_verdict{.service = move.service,
                                                .version = move.to,
                                                .declared_offset = m_to_offset,
                                                .reason = reason});
    out.emplace_back(state::move_outcome{.service = move.service,
                                         .version = move.to,
                                         .done = false,
                                         .reason = reason,
                                         .move_offset = move.declared_offset});
}

// After the deadline a move can only end: it completes if the new version is proven and the bake
// period is over, and rolls back otherwise. Another node may therefore append the outcome if the
// lease holder does not act.
bool move_policy::move_tracker::may_advance(const move_inputs& inputs, const version_move& move,
                                            absl::Duration remaining, absl::Time now) const
{
    return inputs.held.find(move_scope(move.service), now).has_value() ||
           remaining < -failover_delay;
}

double move_policy::move_tracker::next_share(const move_inputs& inputs, const version_move& move,
                                             absl::Duration remaining, absl::Time now) const
{
    if (move.share <= 0)
        return has_live_endpoint(*inputs.view, move) ? move.max_unproven_share : 0;
    if (!m_evidence.is_proven())
        return move.share;
    const absl::Duration slack = remaining - deadline_margin;
    const absl::Duration time_at_share = now - m_share_since;
    if (move.share < first_proven_share)
        return first_proven_share;
    if (move.share < bake_share)
        return time_at_share >= dwell_time(slack - move.bake, 2, move.bake) ? bake_share
                                                                            : move.share;
    if (move.share < final_step_share) {
        if (time_at_share < move.bake)
            return move.share;
        return slack > absl::ZeroDuration() ? final_step_share : full_share;
    }
    return time_at_share >= dwell_time(slack, 1, move.bake) ? full_share : move.share;
}

std::string move_policy::move_tracker::unfinished_reason(const move_inputs& inputs,
                                                         const version_move& move) const
{
    if (move.share <= 0)
        return has_live_endpoint(*inputs.view, move)
                   ? "deadline passed before the first step"
                   : "deadline passed without a live endpoint of the version";
    const std::vector<std::string> missing = m_evidence.missing_evidence();
    if (missing.empty())
        return "deadline passed before the bake period was over";
    return absl::StrCat("deadline passed; missing: ", absl::StrJoin(missing, "; "));
}

} // namespace chivedeal::control
