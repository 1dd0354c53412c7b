#ifndef CHIVEDEAL_FORWARD_REQUEST_RUNNER_HPP
#define CHIVEDEAL_FORWARD_REQUEST_RUNNER_HPP

#include "chivedeal/forward/attempt_outcome.hpp"
#include "chivedeal/forward/endpoint_listener.hpp"
#include "chivedeal/forward/endpoint_pool.hpp"
#include "chivedeal/forward/exchange.hpp"
#include "chivedeal/forward/header_names.hpp"
#include "chivedeal/forward/node_settings.hpp"
#include "chivedeal/forward/outcome_counter.hpp"
#include "chivedeal/forward/token_quota.hpp"
#include "chivedeal/forward/usage_ledger.hpp"
#include "chivedeal/requests/retry_budget.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/random/random.h"
#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <memory>
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

/// Runs callers' requests: admits them, tries endpoints, passes answers on, gives up in time.
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
    };

    explicit request_runner(options parts);
    ~request_runner() override;

    void set_config(std::shared_ptr<const route_index> index, absl::Time now);
    bool has_config() const { return m_index != nullptr; }

    /// Nodes that take requests, this one included.
    void set_nodes(int nodes);

    void on_request(std::uint64_t connection, http_request request, absl::Time started,
                    absl::Time now);
    void on_caller_left(std::uint64_t connection, absl::Time now);
    void on_caller_writable(std::uint64_t connection);

    void on_request_sent(std::uint64_t exchange, absl::Time now) override;
    void on_answer_head(std::uint64_t exchange, const http_response_head& head,
                        absl::Time now) override;
    void on_answer_body(std::uint64_t exchange, std::string_view bytes, absl::Time now) override;
    void on_answer_end(std::uint64_t exchange, absl::Time now) override;
    void on_attempt_lost(std::uint64_t exchange, bool sent, const char* reason,
                         absl::Time now) override;

    /// Handles what is due; returns when the next timer is.
    absl::Time tick(absl::Time now);

    token_quota& quota() { return m_quota; }
    const token_quota& quota() const { return m_quota; }
    const usage_ledger& usage() const { return m_usage; }
    /// True time minus the steady clock, for the windows of usage.
    void set_true_time_offset(absl::Duration offset) { m_true_time_offset = offset; }

    outcome_counter& outcomes() { return m_outcomes; }
    const outcome_counter& outcomes() const { return m_outcomes; }
    /// Prompt tokens that callers asked each service to read, since the start.
    const std::map<service_id, std::int64_t>& asked_tokens() const { return m_asked_tokens; }

    std::size_t under_way() const { return m_exchanges.size(); }

private:
    std::vector<workspace_spec> limits_with_tolerance() const;
    bool admit(exchange& one, absl::Time now);
    void try_endpoint(exchange& one, absl::Time now);
    void end_attempt(exchange& one, attempt_outcome outcome, const char* reason, absl::Time now);
    void after_failure(exchange& one, attempt_outcome outcome, absl::Time now);
    void begin_relay(exchange& one, const http_response_head& head, absl::Time now);
    void judge_answer(exchange& one, absl::Time now);
    void deliver(exchange& one, absl::Time now);
    void release_attempt(exchange& one);
    void note_first_byte(exchange& one, absl::Time now);
    void count_usage(exchange& one, absl::Time now);
    void count_outcome(const exchange& one, bool good);
    void on_time_out(exchange& one, absl::Time now);
    void refuse(exchange& one, int status, const char* reason, absl::Duration retry_after,
                absl::Time now);
    void finish_failed(exchange& one, const char* reason, absl::Time now);
    void finish(exchange& one, int status, const char* reason, absl::Time now);
    void answer_early(std::uint64_t connection, int status, const char* reason,
                      const std::string& id, absl::Duration retry_after, absl::Time now);
    void schedule(exchange& one);
    requests::retry_budget& budget_of(const service_id& service);
    int connection_limit(const service_id& service) const;
    exchange* find(std::uint64_t id);

    const node_settings& m_settings;
    const header_names& m_names;
    caller_side& m_callers;
    endpoint_side& m_endpoints;
    endpoint_pool& m_pool;
    metrics& m_counters;
    std::shared_ptr<const route_index> m_index;
    int m_nodes = 1;
    token_quota m_quota;
    usage_ledger m_usage;
    absl::Duration m_true_time_offset;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<exchange>> m_exchanges;
    absl::flat_hash_map<std::uint64_t, std::uint64_t> m_by_connection;
    std::set<std::pair<absl::Time, std::uint64_t>> m_timers;
    std::map<service_id, std::unique_ptr<requests::retry_budget>> m_budgets;
    outcome_counter m_outcomes;
    std::map<service_id, std::int64_t> m_asked_tokens;
    absl::InsecureBitGen m_random;
    std::uint64_t m_next = 1;
};

} // namespace chivedeal::forward

#endif
