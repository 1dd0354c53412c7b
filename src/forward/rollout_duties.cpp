// Roll-outs as a part of the control duties: the status of each order in the store, which is
// compared and set, and the traffic share of the version on this node.

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/forward/control_duties.hpp"
#include "chivedeal/forward/peer_exchange.hpp"
#include "chivedeal/forward/record_store.hpp"
#include "chivedeal/forward/stable_versions.hpp"
#include "chivedeal/forward/wire_format.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace chivedeal::forward {

namespace {

// A node that doesn't hold the lease writes a lost final status again after this time plus its
// stagger, if the holder has not done so.
constexpr absl::Duration status_backup_delay = absl::Seconds(1);
constexpr absl::Duration status_retry_interval = absl::Seconds(1);
// A node whose evaluation is final reads the decision after this time plus its stagger, unless it
// has heard of it by then. The holder decides within a tick, and its beacons follow at once.
constexpr absl::Duration decision_wait = absl::Milliseconds(500);
// Decisions are sent in the beacons for this long. Nodes that miss all of them read the store.
constexpr absl::Duration decision_announcement_time = absl::Seconds(10);
// After this time, the endpoints of the old version have stopped, so the traffic split has no
// effect.
constexpr absl::Duration completed_split_retention = absl::Seconds(8);
// Fraction of the platform's limit on a new version's share that the nodes use.
constexpr double exposure_limit_fraction = 0.5;
// The same for the requests beyond that share. The rest is for requests that are sent before the nodes
// learn that the version has had these.
constexpr double exposure_slack_fraction = 0.8;
// Counts are passed on every 500 ms, and to other regions in beacons every 500 ms.
constexpr absl::Duration outcome_delay = absl::Seconds(1);

void append_version(std::string* out, const version_id& version) { out->append(version.str()); }

} // namespace

void control_duties::begin_rollout(const rollout_order& order, absl::Time now)
{
    const auto known = m_rollouts.find(order.service);
    if (order.rewritten && known != m_rollouts.end())
        return known->second.on_rewritten(order.offset);
    const rollout_evaluator::options evaluator_options{
        .unproven_share = m_settings.unproven_share * exposure_limit_fraction,
        .extra_responses = m_settings.unproven_slack_requests * exposure_slack_fraction,
        .outcome_delay = outcome_delay};
    std::optional<rollout_status> earlier;
    if (known != m_rollouts.end())
        earlier = known->second.status(m_true_time_offset);
    // Its own result says nothing while the store may hold another one.
    if (earlier && !known->second.is_decided())
        earlier->state = rollout_state::running;
    tracked_rollout& rollout =
        m_rollouts.insert_or_assign(order.service, tracked_rollout(evaluator_options, order, now))
            .first->second;
    find_stable_versions(rollout, earlier);
    m_applied_splits.erase(order.service);
    m_next_status_read = now;
    advance_rollouts(now);
}

void control_duties::record_outcomes(const std::string& process,
                                     const std::vector<version_outcomes>& outcomes, absl::Time now)
{
    for (const version_outcomes& counted : outcomes)
        if (const auto found = m_rollouts.find(counted.service); found != m_rollouts.end())
            found->second.on_outcomes(process, counted);
    advance_rollouts(now);
}

void control_duties::adopt_decisions(const std::vector<rollout_status>& decided, absl::Time now)
{
    for (const rollout_status& status : decided) {
        const auto found = m_rollouts.find(status.service);
        if (found != m_rollouts.end() && found->second.order().offset == status.order_offset)
            found->second.on_decided(status.state, now);
    }
    if (!decided.empty())
        advance_rollouts(now);
}

void control_duties::advance_rollouts(absl::Time now)
{
    const bool is_holder = fence(now).has_value();
    if (!is_holder)
        m_status_end.reset();
    if (must_read_statuses(now))
        (void)read_statuses(now);
    for (auto& [service, rollout] : m_rollouts) {
        if (rollout.stable().empty())
            find_stable_versions(rollout, std::nullopt);
        rollout.evaluate(left_of(rollout.order()), now, m_true_time_offset);
        apply_split(rollout, now);
        if (is_holder || may_restore_status(rollout, now))
            write_status(rollout, now);
    }
    publish_decisions(now);
}

std::optional<endpoints_left> control_duties::left_of(const rollout_order& order) const
{
    if (!m_endpoints_loaded)
        return std::nullopt;
    endpoints_left left{.target = false, .others = false};
    for (const auto& [id, record] : m_endpoints)
        if (record.service == order.service && !record.leaving)
            (record.version == order.target ? left.target : left.others) = true;
    return left;
}

std::set<version_id> control_duties::listed_versions(const service_id& service) const
{
    std::set<version_id> versions;
    for (const auto& [id, record] : m_endpoints)
        if (record.service == service && !record.leaving)
            versions.insert(record.version);
    return versions;
}

void control_duties::find_stable_versions(tracked_rollout& rollout,
                                          const std::optional<rollout_status>& earlier) const
{
    std::set<version_id> known = earlier ? stable_versions_after(*earlier) : rollout.stable();
    if (m_endpoints_loaded)
        known = stable_versions_for(rollout.order().target, known,
                                    listed_versions(rollout.order().service));
    rollout.set_stable(std::move(known));
}

void control_duties::apply_split(const tracked_rollout& rollout, absl::Time now)
{
    const rollout_order& order = rollout.order();
    const std::optional<endpoints_left> left = left_of(order);
    // A version that was rolled back is better than none.
    const bool is_only_version = left && !left->others && left->target;
    const bool is_split_needed =
        rollout.state() == rollout_state::done
            ? now <= rollout.decided_at() + completed_split_retention
            : rollout.state() == rollout_state::running || !is_only_version;
    std::optional<version_split> split;
    if (is_split_needed)
        split = version_split{
            .version = order.target, .share = rollout.share(), .stable = rollout.stable()};
    const auto applied = m_applied_splits.find(order.service);
    if (applied != m_applied_splits.end() && applied->second == split)
        return;
    m_applied_splits[order.service] = split;
    if (split)
        log_event(event_id::move_step_decided,
                  {{"service", order.service.str()},
                   {"version", order.target.str()},
                   {"share", absl::StrCat(split->share)},
                   {"stable", absl::StrJoin(split->stable, " ", append_version)},
                   {"evidence", rollout.is_decided() ? "stored decision" : "own evaluation"}});
    node_event::version_split_changed changed{.service = order.service};
    if (split)
        changed.split = std::make_shared<const version_split>(*std::move(split));
    m_forwarder.on_event({std::move(changed)});
}

bool control_duties::must_read_statuses(absl::Time now) const
{
    if (now < m_next_status_read)
        return false;
    const bool is_holder = fence(now).has_value();
    return std::any_of(m_rollouts.begin(), m_rollouts.end(), [&](const auto& entry) {
        const tracked_rollout& rollout = entry.second;
        if (!rollout.is_status_read())
            return true;
        if (m_status_end)
            return false;
        if (is_holder)
            return !rollout.is_decided() || rollout.needs_write(now);
        return now >= rollout.undecided_since() + decision_wait + m_stagger ||
               may_restore_status(rollout, now);
    });
}

// The holder of the lease may not know of a final state that the store lost.
bool control_duties::may_restore_status(const tracked_rollout& rollout, absl::Time now) const
{
    return rollout.is_carried() && rollout.is_decided() && rollout.needs_write(now) &&
           now >= m_epoch_learned_at + status_backup_delay + m_stagger;
}

// The next holder goes on from the evidence that this one has.
void control_duties::hand_over_rollouts(absl::Time now)
{
    for (auto& [service, rollout] : m_rollouts)
        rollout.request_checkpoint();
    advance_rollouts(now);
}

bool control_duties::read_statuses(absl::Time now)
{
    m_next_status_read = now + status_retry_interval;
    const auto statuses = m_store.newest(topic::rollout_status);
    if (!follow_epoch(m_time.now()) || !is_ok(statuses))
        return false;
    m_status_end = get_value(statuses).next_offset;
    for (auto& [service, rollout] : m_rollouts) {
        std::optional<rollout_status> stored;
        std::optional<rollout_status> earlier;
        for (const stored_record& record : get_value(statuses).records) {
            const auto decoded = m_format.decode_rollout_status(record);
            if (!is_ok(decoded) || get_value(decoded).service != service)
                continue;
            (rollout.is_own_status(get_value(decoded)) ? stored : earlier) = get_value(decoded);
        }
        if (earlier && !rollout.is_status_read())
            find_stable_versions(rollout, earlier);
        rollout.on_status_read(stored, now);
    }
    return true;
}

// Writes only if the topic still ends where it was read, so that a status is never written over one
// that this node doesn't know. This holds for a request that the store executes late, too.
void control_duties::write_status(tracked_rollout& rollout, absl::Time now)
{
    if (!m_status_end || !rollout.is_status_read() || !rollout.needs_write(now))
        return;
    const rollout_status next = rollout.status(m_true_time_offset);
    const auto appended = m_store.append(topic::rollout_status, m_format.rollout_status_key(next),
                                         m_format.encode_rollout_status(next), m_status_end);
    if (!follow_epoch(m_time.now()))
        return;
    if (!is_ok(appended)) {
        m_status_end.reset();
        if (get_error(appended).code == result_code::conflict)
            m_next_status_read = now;
        return;
    }
    m_status_end = get_value(appended) + 1;
    if (rollout.is_carried())
        count_rewritten({{"topic", "rollout_status"},
                         {"epoch", absl::StrCat(m_epoch)},
                         {"key", next.service.str()}});
    rollout.on_status_written(next, now);
    if (next.state != rollout_state::running)
        log_event(next.state == rollout_state::done ? event_id::move_done
                                                    : event_id::move_rolled_back,
                  {{"service", next.service.str()},
                   {"version", next.target.str()},
                   {"good", absl::StrCat(rollout.total().target_good)},
                   {"bad", absl::StrCat(rollout.total().target_bad)},
                   {"excess", absl::StrFormat("%.1f", rollout.excess_increase())}});
}

void control_duties::publish_decisions(absl::Time now)
{
    std::vector<rollout_status> decided;
    for (const auto& [service, rollout] : m_rollouts)
        if (rollout.is_decided() && now < rollout.decided_at() + decision_announcement_time)
            decided.push_back(rollout.status(m_true_time_offset));
    m_peers.set_decided_rollouts(std::move(decided));
}

} // namespace chivedeal::forward
