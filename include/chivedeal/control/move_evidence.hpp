#ifndef CHIVEDEAL_CONTROL_MOVE_EVIDENCE_HPP
#define CHIVEDEAL_CONTROL_MOVE_EVIDENCE_HPP

#include "chivedeal/control/harm_test.hpp"
#include "chivedeal/control/non_inferiority_test.hpp"
#include "chivedeal/control/paired_batch.hpp"
#include "chivedeal/core/id.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace chivedeal::membership {
struct outcome_count;
}

namespace chivedeal::control {

/// Statistical evidence on one move: compares the new version with the old one for each route and
/// load band.
class move_evidence
{
public:
    struct options
    {
        service_id service;
        version_id from;
        std::uint64_t from_offset = 0;
        version_id to;
        std::uint64_t to_offset = 0;
        /// Probability that a good version is ever found bad, over all evaluations, routes and load
        /// bands and both outcome kinds.
        double false_alarm_probability = 0.008;
        /// Probability that a version that is worse by the margin is accepted as proven.
        double false_proof_probability = 0.002;
        /// Non-inferiority margin over all routes, as a share of requests.
        double margin = 0.05;
        /// Non-inferiority margin on each route. It is wider because the number of requests that a
        /// proof needs is inversely proportional to the margin, and a route with a tenth of the
        /// traffic would delay a move ten times as long.
        double route_margin = 0.15;
    };

    explicit move_evidence(options settings);

    /// Excludes the outcomes counted so far, which predate the first step of the move.
    void set_baseline(const std::vector<membership::outcome_count>& counts);

    /// Adds the outcomes counted since the previous call; `counts` are cumulative.
    void add(const std::vector<membership::outcome_count>& counts);

    /// Ends all batches that are being filled. Call it when the traffic shares of the versions
    /// change. The harm tests use the partial batches; the proofs discard them.
    void close_batches();

    /// Returns true if the new version is shown to be worse.
    bool is_bad() const;

    /// Returns true if the new version is shown to be no worse, both over all routes and on each
    /// route with traffic.
    bool is_proven() const { return missing_evidence().empty(); }

    /// Returns descriptions of the evidence that a proof still needs.
    std::vector<std::string> missing_evidence() const;

    /// Returns the evidence of harm and its threshold as text for logs and reasons.
    std::string describe() const;

    /// Returns the number of requests that the new version has served.
    std::uint64_t new_requests() const { return m_all_routes.total.new_version.requests; }

private:
    enum outcome_kind
    {
        errors,
        slow,
    };

    struct totals
    {
        std::uint64_t requests = 0;
        std::uint64_t errors = 0;
        std::uint64_t slow = 0;
    };

    struct version_totals
    {
        totals new_version;
        totals old_version;
    };

    struct proof_progress
    {
        explicit proof_progress(double margin)
            : tests{non_inferiority_test(margin), non_inferiority_test(margin)}
        {}

        version_totals pending;
        version_totals total;
        std::array<non_inferiority_test, 2> tests;
    };

    struct group
    {
        double weight = 0;
        std::array<harm_test, 2> tests;
    };

    using counter_key = std::tuple<node_id, bool, std::string, int>;

    static paired_batch make_batch(const version_totals& counts, outcome_kind kind);
    totals consume_delta(const membership::outcome_count& count, bool is_new);
    void update_harm_tests(const std::pair<std::string, int>& stratum,
                           const version_totals& counts);
    void update_proof(proof_progress& progress);
    void report_missing(const std::string& scope, const proof_progress& progress,
                        std::vector<std::string>& out) const;
    group& group_for(const std::string& name, double weight);
    double harm_value() const;

    options m_options;
    std::map<counter_key, totals> m_last_counts;
    std::map<std::pair<std::string, int>, version_totals> m_strata;
    std::map<std::string, proof_progress> m_routes;
    proof_progress m_all_routes;
    std::map<std::string, group> m_groups;
    std::size_t m_route_group_count = 0;
};

} // namespace chivedeal::control

#endif
