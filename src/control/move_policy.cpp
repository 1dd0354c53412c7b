#include "chivedeal/control/move_policy.hpp"

#include "chivedeal/control/lease_scope.hpp"
#include "chivedeal/control/move_look.hpp"
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

// At half of the traffic the comparison needs the fewest requests, and the old version stays warm.
constexpr double first_proven_share = 0.25;
constexpr double bake_share = 0.5;
constexpr double last_share = 0.9;
constexpr double done_share = 1;
// Kept free before the deadline for the append of the outcome and its read-back.
constexpr absl::Duration deadline_margin = absl::Seconds(5);
// Above the usual time of an append with its read-back; a repeated record has no further effect.
constexpr absl::Duration retry_interval = absl::Seconds(2);
// Other nodes wait this long for the lease holder or the node that found the version bad.
constexpr absl::Duration stand_in_delay = absl::Seconds(10);

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

// A part of `spare`, at most the bake period.
absl::Duration dwell(absl::Duration spare, int parts, absl::Duration bake)
{
    return std::clamp(spare / parts, absl::ZeroDuration(), bake);
}

} // namespace

class move_policy::session
{
public:
    session(const move_look& look, const version_move& move)
        : m_evidence({.service = move.service,
                      .from = move.from,
                      .from_offset = declared_offset(*look.state, move.service, move.from),
                      .to = move.to,
                      .to_offset = declared_offset(*look.state, move.service, move.to)}),
          m_move_offset(move.declared_offset),
          m_to_offset(declared_offset(*look.state, move.service, move.to)),
          m_from_offset(declared_offset(*look.state, move.service, move.from))
    {}

    bool fits(const move_look& look, const version_move& move) const
    {
        return m_move_offset == move.declared_offset &&
               m_to_offset == declared_offset(*look.state, move.service, move.to) &&
               m_from_offset == declared_offset(*look.state, move.service, move.from);
    }

    void run(const move_look& look, const version_move& move, absl::Time now,
             std::vector<move_command>& out);

private:
    void observe(const move_look& look, const version_move& move, absl::Time now);
    std::optional<std::string> bad_reason(const move_look& look, const version_move& move) const;
    void roll_back(const move_look& look, const version_move& move, const std::string& reason,
                   absl::Time now, std::vector<move_command>& out);
    bool may_advance(const move_look& look, const version_move& move, absl::Duration remaining,
                     absl::Time now) const;
    double next_share(const move_look& look, const version_move& move, absl::Duration remaining,
                      absl::Time now) const;
    std::string unfinished_reason(const move_look& look, const version_move& move) const;

    move_evidence m_evidence;
    std::uint64_t m_move_offset;
    std::uint64_t m_to_offset;
    std::uint64_t m_from_offset;
    std::shared_ptr<const membership::membership_view> m_view;
    double m_share = -1;
    absl::Time m_share_since;
    absl::Time m_bad_since = absl::InfiniteFuture();
    absl::Time m_retry_at = absl::InfinitePast();
    bool m_announced = false;
};

std::vector<move_command> move_policy::handle(const move_look& look, absl::Time now)
{
    std::vector<move_command> out;
    for (const auto& [service, move] : look.state->moves) {
        if (move->status != state::move_status::open) {
            m_sessions.erase(service);
            continue;
        }
        std::shared_ptr<session>& current = m_sessions[service];
        if (!current || !current->fits(look, *move))
            current = std::make_shared<session>(look, *move);
        current->run(look, *move, now, out);
    }
    std::erase_if(m_sessions,
                  [&](const auto& entry) { return !look.state->moves.contains(entry.first); });
    return out;
}

void move_policy::session::run(const move_look& look, const version_move& move, absl::Time now,
                               std::vector<move_command>& out)
{
    observe(look, move, now);
    if (is_enabled(mechanism::version_rollback)) {
        if (const auto reason = bad_reason(look, move)) {
            roll_back(look, move, *reason, now, out);
            return;
        }
    }
    const absl::Duration remaining = move.deadline - look.wall_now;
    if (now < m_retry_at || !may_advance(look, move, remaining, now))
        return;
    const double share = next_share(look, move, remaining, now);
    if (share >= done_share) {
        out.emplace_back(state::move_outcome{.service = move.service,
                                             .version = move.to,
                                             .done = true,
                                             .reason = m_evidence.describe()});
    }
    else if (remaining <= absl::ZeroDuration()) {
        out.emplace_back(state::move_outcome{.service = move.service,
                                             .version = move.to,
                                             .done = false,
                                             .reason = unfinished_reason(look, move)});
    }
    else if (share > move.share) {
        const std::string scope = move_scope(move.service);
        out.emplace_back(append_step{.step = {.service = move.service,
                                              .version = move.to,
                                              .share = share,
                                              .scope = scope,
                                              .lease_offset = look.held.find(scope, now)->fence},
                                     .evidence = m_evidence.describe()});
    }
    else {
        return;
    }
    m_retry_at = now + retry_interval;
}

void move_policy::session::observe(const move_look& look, const version_move& move, absl::Time now)
{
    const bool first = m_share < 0;
    if (move.share != m_share) {
        m_evidence.close_batches();
        m_share = move.share;
        m_share_since = now;
        m_retry_at = absl::InfinitePast();
    }
    // Counts from before the first step are not evidence; a node that starts in the middle of a
    // move takes all that was counted since.
    if (first && move.share <= 0) {
        m_evidence.set_baseline(look.own_counts);
        m_evidence.set_baseline(look.view->outcomes);
        m_view = look.view;
        return;
    }
    m_evidence.add(look.own_counts);
    if (look.view != m_view)
        m_evidence.add(look.view->outcomes);
    m_view = look.view;
}

std::optional<std::string> move_policy::session::bad_reason(const move_look& look,
                                                            const version_move& move) const
{
    for (const membership::version_bad& bad : look.view->bad_versions)
        if (bad.service == move.service && bad.version == move.to &&
            bad.declared_offset == m_to_offset)
            return bad.reason;
    const auto verdict = look.state->bad_versions.find({move.service, move.to});
    if (verdict != look.state->bad_versions.end() && verdict->second == m_to_offset)
        return "the version was found bad before";
    if (m_evidence.is_bad())
        return m_evidence.describe();
    return std::nullopt;
}

void move_policy::session::roll_back(const move_look& look, const version_move& move,
                                     const std::string& reason, absl::Time now,
                                     std::vector<move_command>& out)
{
    const auto verdict = look.state->bad_versions.find({move.service, move.to});
    const bool in_log = verdict != look.state->bad_versions.end() && verdict->second == m_to_offset;
    if (m_bad_since == absl::InfiniteFuture()) {
        m_bad_since = now;
        m_retry_at = absl::InfinitePast();
    }
    // Gossip first: it needs no log and stops the traffic at once.
    if (m_evidence.is_bad() && !m_announced) {
        m_announced = true;
        out.emplace_back(membership::version_bad{.service = move.service,
                                                 .version = move.to,
                                                 .declared_offset = m_to_offset,
                                                 .reason = reason});
    }
    const bool appends = m_announced || look.held.find(move_scope(move.service), now) ||
                         now >= m_bad_since + stand_in_delay;
    if (!appends || now < m_retry_at)
        return;
    m_retry_at = now + retry_interval;
    if (!in_log)
        out.emplace_back(state::version_verdict{.service = move.service,
                                                .version = move.to,
                                                .declared_offset = m_to_offset,
                                                .reason = reason});
    out.emplace_back(state::move_outcome{
        .service = move.service, .version = move.to, .done = false, .reason = reason});
}

// The outcome after the deadline is in the safe direction, so that another node stands in for a
// holder that does not act.
bool move_policy::session::may_advance(const move_look& look, const version_move& move,
                                       absl::Duration remaining, absl::Time now) const
{
    return look.held.find(move_scope(move.service), now).has_value() || remaining < -stand_in_delay;
}

double move_policy::session::next_share(const move_look& look, const version_move& move,
                                        absl::Duration remaining, absl::Time now) const
{
    if (move.share <= 0)
        return has_live_endpoint(*look.view, move) ? move.max_unproven_share : 0;
    if (!m_evidence.is_proven())
        return move.share;
    const absl::Duration spare = remaining - deadline_margin;
    const absl::Duration stayed = now - m_share_since;
    if (move.share < first_proven_share)
        return first_proven_share;
    if (move.share < bake_share)
        return stayed >= dwell(spare - move.bake, 2, move.bake) ? bake_share : move.share;
    if (move.share < last_share) {
        if (stayed < move.bake)
            return move.share;
        return spare > absl::ZeroDuration() ? last_share : done_share;
    }
    return stayed >= dwell(spare, 1, move.bake) ? done_share : move.share;
}

std::string move_policy::session::unfinished_reason(const move_look& look,
                                                    const version_move& move) const
{
    if (move.share <= 0)
        return has_live_endpoint(*look.view, move)
                   ? "deadline passed before the first step"
                   : "deadline passed without a live endpoint of the version";
    const std::vector<std::string> missing = m_evidence.missing();
    if (missing.empty())
        return "deadline passed before the bake period was over";
    return absl::StrCat("deadline passed; missing: ", absl::StrJoin(missing, "; "));
}

} // namespace chivedeal::control
