#ifndef CHIVEDEAL_SRC_REQUESTS_FLOW_CORE_HPP
#define CHIVEDEAL_SRC_REQUESTS_FLOW_CORE_HPP

#include "chivedeal/requests/claim_book.hpp"
#include "chivedeal/requests/request_entry.hpp"
#include "chivedeal/requests/request_flow.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

namespace chivedeal::membership {
struct endpoint;
struct node_record;
} // namespace chivedeal::membership

namespace chivedeal::requests {
struct reclaim_source;
struct reclaim_stream;
struct reclaim_target;
} // namespace chivedeal::requests

namespace chivedeal::requests::detail {

/// Handles the events of the request flow. The parts are in one file each: arrival and end
/// (flow_core), attempts (flow_attempts), claims (flow_claims), leaving endpoints (flow_reclaims)
/// and peers (flow_hand_off).
class flow_core
{
public:
    explicit flow_core(request_flow::options wiring);

    std::vector<flow_command> handle(const flow_event& event, absl::Time now);

    std::size_t open_requests() const { return m_requests.size(); }
    workspace_limiter& limiter() { return m_limiter; }

private:
    using entry_map = absl::flat_hash_map<request_id, std::unique_ptr<request_entry>>;

    // Arrival and end.
    void take(const request_arrived& event);
    void take(const request_resumed& event);
    void take(const caller_left& event);
    void take(const request_cancelled& event);
    void take(const load_report& event);
    void take(const cache_event_batch& event);
    void take(const state_changed& event);
    void take(const drain_requested& event);
    void advance_drain();
    void take(const tick& event);
    void begin(request_entry& entry);
    void repeat(request_entry& entry, const request_arrived& event);
    status admit(const caller_request& request);
    void release_limits(const request_entry& entry);
    void refuse(const request_arrived& event, outcome result, const error& reason);
    void replay(const finished_answer& answer, std::uint64_t connection, std::uint64_t position);
    void send(const request_id& request, std::uint64_t connection, answer_event event);
    void finish(request_entry& entry, outcome result, error reason);
    void check_time(request_entry& entry);
    void cancel(request_entry& entry, const char* why);
    request_entry* find(const request_id& request);
    std::vector<request_id> open_ids() const;
    void count(const std::string& name, double delta = 1);

    // Attempts.
    void take(const attempt_event& event);
    void take_body(request_entry& entry, const attempt_started& event);
    void take_body(request_entry& entry, const attempt_token& event);
    void take_body(request_entry& entry, const attempt_ended& event);
    void take_body(request_entry& entry, const attempt_failed& event);
    void start_attempt(request_entry& entry);
    void start_attempt_at(request_entry& entry, const membership::endpoint& target,
                          std::string kv_handle);
    void fail_attempt(request_entry& entry, const error& reason);
    void retry_or_finish(request_entry& entry, const error& reason);
    bool may_retry(const request_entry& entry, const error& reason) const;
    void exclude(request_entry& entry, const membership::endpoint& failed);
    void stop_attempt(request_entry& entry);
    void close_attempt(request_entry& entry, bool failed);
    void report_sample(const request_entry& entry, bool failed);
    bool is_leaving(const endpoint_id& endpoint) const { return m_leaving.contains(endpoint); }

    // Claims.
    void take(const claim_read_back& event);
    void take(const claim_refused& event);
    void take(const claims_restored& event) { m_claims.restore(event.claims); }
    bool answer_by_key(const request_arrived& event);
    void deliver_result(request_entry& entry, const state::claim_entry& stored);
    void claim_or_start(request_entry& entry);
    void settle_claim(const request_entry& entry, outcome result);

    // Leaving endpoints.
    void take(const view_changed& event);
    void take(const kv_moved& event);
    void plan_reclaims();
    void run_planned_step(request_entry& entry);
    void resume_elsewhere(request_entry& entry, const membership::endpoint* target);
    reclaim_stream stream_of(const request_entry& entry) const;
    reclaim_source source_of(const membership::endpoint& endpoint) const;
    reclaim_target target_of(const membership::endpoint& endpoint) const;
    const membership::endpoint* find_live(const endpoint_id& id) const;

    // Peers.
    void hand_off_streams();
    void take(const hand_off_answered& event);
    void take(const stream_taken_over& event);
    void offer(request_entry& entry);
    void offer_answer(const finished_answer& answer);
    membership::stream_state state_of(const request_entry& entry) const;
    std::vector<const membership::node_record*> peers() const;

    request_flow::options m_options;
    absl::Time m_now;
    std::vector<flow_command> m_commands;
    entry_map m_requests;
    answer_store m_answers;
    claim_book m_claims;
    retry_budget m_budget;
    retry_backoff m_backoff;
    admission m_admission;
    workspace_limiter m_limiter;
    std::shared_ptr<const state::cluster_state> m_state;
    std::shared_ptr<const membership::membership_view> m_view;
    absl::flat_hash_map<endpoint_id, load_report> m_loads;
    absl::flat_hash_set<endpoint_id> m_leaving;
    reclaim_planner m_planner;
    drain_controller m_drain;
    /// Finished answers that a peer was asked to keep, and whether it has yet to answer.
    absl::flat_hash_map<request_id, bool> m_offered_answers;
    std::size_t m_open_offers = 0;
    bool m_intake_closed = false;
};

} // namespace chivedeal::requests::detail

#endif
