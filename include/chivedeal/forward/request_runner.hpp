#ifndef CHIVEDEAL_FORWARD_REQUEST_RUNNER_HPP
#define CHIVEDEAL_FORWARD_REQUEST_RUNNER_HPP

#include "chivedeal/admission/token_quota.hpp"
#include "chivedeal/forward/attempt_outcome.hpp"
#include "chivedeal/forward/crash_tracker.hpp"
#include "chivedeal/forward/endpoint_listener.hpp"
#include "chivedeal/forward/endpoint_pool.hpp"
#include "chivedeal/forward/exchange.hpp"
#include "chivedeal/forward/header_names.hpp"
#include "chivedeal/forward/node_settings.hpp"
#include "chivedeal/forward/outcome_counter.hpp"
#include "chivedeal/forward/prompt_quarantine.hpp"
#include "chivedeal/forward/shutdown_admission.hpp"
#include "chivedeal/forward/usage_ledger.hpp"
#include "chivedeal/requests/retry_budget.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/random/random.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal {
class metrics;
}

namespace chivedeal::forward {

class caller_side;
class endpoint_side;

/// Processes callers' requests: admits them, sends them to endpoints, retries failed attempts,
/// relays responses and enforces deadlines.
class request_runner : public endpoint_listener
{
public:
    struct options
    {
        const node_settings& settings;
        const header_names& names;
        caller_side& callers;
        endpoint_side& endpoints;
        endpoint_pool& pool;
        metrics& counters;
        /// Limit for the responses that are kept until they are complete, of all requests together.
        std::size_t max_buffered_body_bytes;
    };

    explicit request_runner(options dependencies);
    ~request_runner() override;

    void set_config(std::shared_ptr<const route_index> index, absl::Time now);
    bool has_config() const { return m_index != nullptr; }

    /// Sets the number of nodes that accept requests, including this one, and how many share the
    /// limits of workspaces, as far as this node knows.
    void set_node_count(int ready_nodes, int nodes_sharing_limits);

    /// Refuses, from now on, requests that may still be under way at `end`.
    void begin_shutdown(absl::Time end, absl::Time callers_informed)
    {
        m_shutdown.begin(end, callers_informed);
    }
    /// Gives all requests under way their final responses; streams end incomplete.
    void end_all(absl::Time now);

    void on_request(std::uint64_t connection, http_request request, absl::Time started,
                    absl::Time now);
    void on_caller_disconnected(std::uint64_t connection, absl::Time now);
    void on_caller_writable(std::uint64_t connection);
    /// Keeps the connection's request no longer for another attempt.
    void on_release_requested(std::uint64_t connection);
    /// Ends the connection's request to free its memory.
    void on_shed(std::uint64_t connection, absl::Time now);

    void on_request_sent(std::uint64_t exchange_id, absl::Time now) override;
    void on_request_written(std::uint64_t exchange_id, absl::Time now) override;
    void on_response_head(std::uint64_t exchange_id, const http_response_head& head,
                          absl::Time now) override;
    void on_response_body(std::uint64_t exchange_id, std::string_view bytes,
                          absl::Time now) override;
    void on_response_end(std::uint64_t exchange_id, absl::Time now) override;
    void on_attempt_failed(std::uint64_t exchange_id, attempt_failure failure, const char* reason,
                           absl::Time now) override;
    void on_probe_ended(const endpoint_id& endpoint, probe_result result, absl::Time now) override;

    /// Handles expired timers and returns the due time of the next one.
    absl::Time tick(absl::Time now);

    admission::token_quota& quota() { return m_quota; }
    const admission::token_quota& quota() const { return m_quota; }
    const usage_ledger& usage() const { return m_usage; }
    /// Sets the difference between true time and the steady clock. Usage windows are in true time.
    void set_true_time_offset(absl::Duration offset) { m_true_time_offset = offset; }

    prompt_quarantine& quarantine() { return m_quarantine; }
    const prompt_quarantine& quarantine() const { return m_quarantine; }

    outcome_counter& outcomes() { return m_outcomes; }
    const outcome_counter& outcomes() const { return m_outcomes; }
    /// Prompt tokens of all requests admitted for each service since the process started.
    const std::map<service_id, std::int64_t>& requested_prompt_tokens() const
    {
        return m_requested_prompt_tokens;
    }

    std::size_t active_count() const { return m_exchanges.size(); }

private:
    bool admit(exchange& current, absl::Time now);
    void try_endpoint(exchange& current, absl::Time now);
    static void measure_request(exchange& current);
    // Accounts the request to its caller's connection. It can be released once it is written.
    void charge_request(const exchange& current, std::size_t unwritten_bytes);
    void release_request(exchange& current);
    void end_attempt(exchange& current, attempt_outcome outcome, const char* reason,
                     absl::Time now);
    void retry_or_fail(exchange& current, attempt_outcome outcome, absl::Time now);
    void record_response_head(const exchange& current, const http_response_head& head,
                              absl::Time now);
    void record_load(const exchange& current, const http_response_head& head, absl::Time now);
    void record_announced_leaving(const exchange& current, const http_response_head& head,
                                  absl::Time now);
    void record_retry_after(const exchange& current, const http_response_head& head,
                            absl::Time now);
    void record_cold(const exchange& current, const http_response_head& head, absl::Time now);
    void begin_relay(exchange& current, const http_response_head& head, absl::Time now);
    // Returns the outcome of an attempt whose response states that the request did not run.
    std::optional<attempt_outcome> refusal(const http_response_head& head) const;
    void classify_response(exchange& current, absl::Time now);
    void deliver_response(exchange& current, absl::Time now);
    void release_attempt(exchange& current);
    void record_first_byte(exchange& current, absl::Time now);
    void record_timeout(const exchange& current, absl::Time now);
    void record_response_time(const exchange& current, absl::Duration late, absl::Time now);
    void record_later_bytes(exchange& current, std::size_t bytes, absl::Time now);
    void record_sound_prompt(exchange& current, absl::Time now);
    void record_trial(const exchange& current, absl::Time now);
    void record_lost_request(const exchange& current, absl::Time now);
    void report_quarantine_changes();
    void count_usage(exchange& current, absl::Time now);
    void count_failure(const exchange& current, absl::Time now);
    void count_response(const exchange& current, std::optional<double> pace, bool in_time,
                        absl::Time now);
    void buffer_body(exchange& current, std::string_view bytes, absl::Time now);
    exchange& exchange_with_longest_body();
    void drop_body(exchange& current);
    void on_timeout(exchange& current, absl::Time now);
    void refuse(exchange& current, int status, const char* reason, absl::Duration retry_after,
                absl::Time now);
    absl::Duration retry_delay(const exchange& current, absl::Time now);
    void finish_failed(exchange& current, const char* reason, absl::Time now);
    void finish(exchange& current, int status, const char* reason, absl::Time now);
    void reject_before_admission(std::uint64_t connection, int status, const char* reason,
                                 const std::string& request_id, absl::Duration retry_after,
                                 absl::Time now);
    void schedule(exchange& current);
    requests::retry_budget& retry_budget_for(const service_id& service);
    int connection_limit(const service_id& service) const;
    exchange* find_exchange(std::uint64_t exchange_id);
    exchange* find_exchange_of(std::uint64_t connection);

    const node_settings& m_settings;
    const header_names& m_names;
    caller_side& m_callers;
    endpoint_side& m_endpoints;
    endpoint_pool& m_pool;
    metrics& m_counters;
    std::shared_ptr<const route_index> m_index;
    int m_node_count = 1;
    admission::token_quota m_quota;
    usage_ledger m_usage;
    absl::Duration m_true_time_offset;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<exchange>> m_exchanges;
    absl::flat_hash_map<std::uint64_t, std::uint64_t> m_exchange_by_connection;
    std::set<std::pair<absl::Time, std::uint64_t>> m_timers;
    std::map<service_id, std::unique_ptr<requests::retry_budget>> m_retry_budgets;
    outcome_counter m_outcomes;
    prompt_quarantine m_quarantine;
    crash_tracker m_crashes{m_quarantine};
    shutdown_admission m_shutdown;
    std::map<service_id, std::int64_t> m_requested_prompt_tokens;
    std::size_t m_max_buffered_body_bytes;
    std::size_t m_buffered_body_bytes = 0;
    absl::InsecureBitGen m_random;
    std::uint64_t m_next_exchange_id = 1;
};

} // namespace chivedeal::forward

#endif
