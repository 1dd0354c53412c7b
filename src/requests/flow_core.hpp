#ifndef CHIVEDEAL_SRC_REQUESTS_FLOW_CORE_HPP
#define CHIVEDEAL_SRC_REQUESTS_FLOW_CORE_HPP

#include "chivedeal/requests/claim_tracker.hpp"
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

/// Implements `request_flow`. The member functions are grouped by source file: request arrival and
/// completion (flow_core), attempts (flow_attempts), claims (flow_claims), leaving endpoints
/// (flow_reclaims) and hand-off to peers (flow_hand_off).
class flow_core
{
public:
    explicit flow_core(request_flow::options settings);

    std::vector<flow_command> handle(const flow_event& event, absl::Time now);

    std::size_t open_requests() const { return m_requests.size(); }
    workspace_limiter& limiter() { return m_limiter; }

private:
    using entry_map = absl::flat_hash_map<request_id, std::unique_ptr<request_entry>>;

    // Request arrival and completion.
    void on_event(const request_arrived& event);
    void on_event(const request_resumed& event);
    void on_event(const caller_disconnected& event);
    void on_event(const request_cancelled& event);
    void on_event(const load_report& event);
    void on_event(const cache_event_batch& event);
    void on_event(const state_changed& event);
    void on_event(const drain_requested& event);
    void advance_drain();
    void on_event(const tick& event);
    void begin(request_entry& entry);
    void on_repeated_request(request_entry& entry, const request_arrived& event);
    status admit(const caller_request& request);
    status admit_by_workspace(const caller_request& request);
    void release_limits(const request_entry& entry);
    void refuse(const request_arrived& event, outcome result, const error& reason);
    void replay(const finished_answer& answer, std::uint64_t connection, std::uint64_t position);
    void send(const request_id& request, std::uint64_t connection, answer_event event);
    void finish(request_entry& entry, outcome result, error reason);
    void check_deadlines(request_entry& entry);
    void cancel(request_entry& entry, const char* reason);
    request_entry* find(const request_id& request);
    std::vector<request_id> open_ids() const;
    void count(const std::string& name, double delta = 1);

    // Attempts.
    void on_event(const attempt_event& event);
    void on_attempt_event(request_entry& entry, const attempt_started& event);
    void on_attempt_event(request_entry& entry, const attempt_token& event);
    void on_attempt_event(request_entry& entry, const attempt_ended& event);
    void on_attempt_event(request_entry& entry, const attempt_failed& event);
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
    bool is_leaving(const endpoint_id& endpoint) const
    {
        return m_leaving_endpoints.contains(endpoint);
    }

    // Claims.
    void on_event(const claim_read_back& event);
    void on_event(const claim_refused& event);
    void on_event(const claims_restored& event) { m_claims.restore(event.claims); }
    bool answer_known_key(const request_arrived& event);
    void deliver_stored_result(request_entry& entry, const state::claim_entry& stored);
    void claim_or_start(request_entry& entry);
    void complete_claim(const request_entry& entry, outcome result);

    // Leaving endpoints.
    void on_event(const view_changed& event);
    void on_event(const kv_moved& event);
    void plan_reclaims();
    void run_planned_step(request_entry& entry);
    void resume_on_another_endpoint(request_entry& entry, const membership::endpoint* target);
    reclaim_stream make_reclaim_stream(const request_entry& entry) const;
    reclaim_source make_reclaim_source(const membership::endpoint& endpoint) const;
    reclaim_target make_reclaim_target(const membership::endpoint& endpoint) const;
    const membership::endpoint* find_live_endpoint(const endpoint_id& id) const;

    // Hand-off to peers.
    void hand_off_streams();
    void on_event(const hand_off_answered& event);
    void on_event(const stream_received& event);
    void offer_stream(request_entry& entry);
    void offer_answer(const finished_answer& answer);
    membership::stream_state make_stream_state(const request_entry& entry) const;
    std::vector<const membership::node_record*> hand_off_candidates() const;

    request_flow::options m_options;
    absl::Time m_now;
    std::vector<flow_command> m_commands;
    entry_map m_requests;
    answer_store m_answers;
    claim_tracker m_claims;
    retry_budget m_budget;
    retry_backoff m_backoff;
    admission m_admission;
    body_budget m_bodies;
    workspace_limiter m_limiter;
    std::shared_ptr<const state::cluster_state> m_state;
    std::shared_ptr<const membership::membership_view> m_view;
    absl::flat_hash_map<endpoint_id, load_report> m_load_reports;
    absl::flat_hash_set<endpoint_id> m_leaving_endpoints;
    reclaim_planner m_planner;
    drain_controller m_drain;
    /// Finished answers that were offered to a peer, and whether the offer is still unanswered.
    absl::flat_hash_map<request_id, bool> m_offered_answers;
    std::size_t m_pending_answer_offers = 0;
    bool m_intake_closed = false;
};

} // namespace chivedeal::requests::detail

#endif
