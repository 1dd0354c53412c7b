#ifndef TEST_PLATFORM_SOAK_LEDGER_HPP
#define TEST_PLATFORM_SOAK_LEDGER_HPP

#include "chivedeal/core/mutex.hpp"

#include "absl/time/time.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::soak {

/// Records what callers and endpoints see, and checks the promises that nodes make to both.
///
/// All bounds count from what a caller has received, so that a slow machine breaks none of them.
class ledger
{
public:
    /// A request as its caller sent it; it carries the node's name and the time to the endpoint.
    struct sent_request
    {
        std::string id;
        std::string node;
        absl::Time sent_at;
        bool deadly = false;
        bool repeatable = false;
    };

    void on_run(const sent_request& request, const std::string& endpoint);
    /// The endpoint's streams may break off because of its links or itself, until `end`.
    void on_endpoint_disturbed(const std::string& endpoint, absl::Time end);
    /// Ends the disturbances that have no end yet.
    void end_disturbances(absl::Time now);
    /// A request arrived at an endpoint's incarnation, whether it ran or not.
    void on_arrival(const std::string& endpoint, const sent_request& request, absl::Time now);
    void on_crash(absl::Time now);

    /// An endpoint turned the request away and wants none from the node until `retry_at`.
    void on_turned_away(const std::string& endpoint, const sent_request& request,
                        absl::Time retry_at);

    /// The caller got a response. `whole` tells whether it was complete and its own.
    void on_answer(const sent_request& request, int status, bool whole, absl::Time now);
    /// The connection ended without a response, while the node was in a graceful stop.
    void on_cut_off_by_graceful_stop(const sent_request& request, bool is_stream);
    void on_leaving_passed_on(const std::string& node, const std::string& endpoint, absl::Time now);

    /// The node was restarted or frozen, or is about to be.
    void on_node_disturbed(const std::string& node, absl::Time now);
    /// All nodes were killed at once, and with them what they knew of deadly prompts.
    void on_all_nodes_killed();

    /// Counts sound requests from now on, for the share that is served without faults.
    void begin_calm();
    void end_calm();

    void fail(const std::string& promise);
    std::vector<std::string> violations() const;
    std::string summary() const;

private:
    struct pause
    {
        absl::Time passed_on_at;
        absl::Time retry_at;
        int arrivals = 0;
    };

    using node_and_endpoint = std::pair<std::string, std::string>;

    void add_violation(std::string promise);

    mutable mutex m_mutex;
    std::map<std::string, int> m_runs;
    // The endpoint of the last run, by the request.
    std::map<std::string, std::string> m_run_endpoints;
    std::map<std::string, absl::Time> m_endpoint_disturbed_until;
    std::map<std::string, bool> m_refused;
    std::map<node_and_endpoint, absl::Time> m_leaving_passed_on;
    std::map<node_and_endpoint, pause> m_pauses;
    // Endpoints that turned a request away, by the request.
    std::map<std::string, std::map<std::string, absl::Time>> m_turned_away;
    std::map<std::string, absl::Time> m_disturbed_at;
    std::vector<absl::Time> m_crashes;
    int m_late_deadly_arrivals = 0;
    int m_answers = 0;
    int m_successes = 0;
    bool m_calm = false;
    int m_calm_answers = 0;
    int m_calm_successes = 0;
    int m_total_crashes = 0;
    int m_leaving_count = 0;
    int m_pause_count = 0;
    std::vector<std::string> m_violations;
};

} // namespace chivedeal::soak

#endif
