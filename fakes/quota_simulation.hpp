#ifndef FAKES_QUOTA_SIMULATION_HPP
#define FAKES_QUOTA_SIMULATION_HPP

#include "chivedeal/admission/token_quota.hpp"

#include "absl/time/time.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace chivedeal::fakes {

/// Lets nodes admit the requests of one workspace and report to each other as beacons do: within
/// three regions directly, to other regions through a relay.
class quota_simulation
{
public:
    struct traffic_class
    {
        double cost = 0;
        /// Share of the tokens that callers ask for.
        double share = 1;
        int priority = 0;
    };

    struct options
    {
        int nodes = 3;
        /// The limit, in tokens per second and tokens; nodes add part of the tolerance to it.
        double rate = 0;
        double burst = 0;
        /// Costs are log-normal.
        double mean_cost = 0;
        double max_cost = 0;
        /// Multiple of the rate that callers ask for.
        double demand = 1;
        absl::Duration length;
        /// All nodes lose their state and are down for a moment.
        absl::Duration restart_at = absl::InfiniteDuration();
        /// `admitted_share` ignores earlier requests.
        absl::Duration measured_from;
        double loss = 0.02;
        unsigned seed = 1;
        /// Replaces the log-normal costs if not empty.
        std::vector<traffic_class> classes;
        /// Fraction of the requests that go to a tenth of the nodes; the others go to all evenly.
        double concentration = 0;
        /// The demand changes at this time.
        absl::Duration later_from = absl::InfiniteDuration();
        double later_demand = 1;
        /// A share of the nodes is cut off from all other nodes, though not from callers.
        double cut_share = 0;
        absl::Duration cut_from = absl::InfiniteDuration();
        absl::Duration cut_for;
        /// Additional delay of each report, uniform up to this.
        absl::Duration max_delay;
    };

    /// What callers asked for, and what was admitted. Tokens that the limit allows are those that
    /// one bucket without tolerance admits, in the order of arrival.
    struct outcome
    {
        double asked = 0;
        double admitted = 0;
        double allowed = 0;
        /// Part of `allowed` that was refused.
        double wrongly_refused = 0;
        std::int64_t requests = 0;
        std::int64_t admitted_requests = 0;
        double served_share() const
        {
            return static_cast<double>(admitted_requests) / static_cast<double>(requests);
        }
    };

    explicit quota_simulation(options settings)
        : m_options(settings),
          m_nodes(static_cast<std::size_t>(settings.nodes)),
          m_classes(std::max<std::size_t>(1, settings.classes.size())),
          m_reference_level(settings.burst),
          m_random(settings.seed)
    {}

    void run()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            start_node(i, m_start, false);
        absl::Time next_exchange = m_start;
        bool restarted = false;
        absl::Time up_at = m_start;
        for (absl::Time now = m_start; now < m_start + m_options.length; now += step) {
            if (!restarted && now - m_start >= m_options.restart_at) {
                restarted = true;
                up_at = now + down_time;
                m_reports.clear();
                for (std::size_t i = 0; i < m_nodes.size(); ++i)
                    start_node(i, up_at, true);
            }
            send_requests(now, now >= up_at);
            if (now < up_at)
                continue;
            if (now >= next_exchange) {
                next_exchange = now + absl::Milliseconds(500);
                for (node& each : m_nodes)
                    each.quota.on_exchange(now);
            }
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                send_reports(i, now);
            deliver_reports(now);
        }
    }

    /// Largest total cost admitted in any span of this length.
    double max_admitted_within(absl::Duration span) const
    {
        std::deque<admitted_request> recent;
        double sum = 0;
        double largest = 0;
        for (const admitted_request& each : m_admissions) {
            recent.push_back(each);
            sum += each.cost;
            while (recent.front().at < each.at - span) {
                sum -= recent.front().cost;
                recent.pop_front();
            }
            largest = std::max(largest, sum);
        }
        return largest;
    }

    /// Admitted cost divided by the cost that was asked for.
    double admitted_share() const { return total().admitted / total().asked; }

    outcome total() const
    {
        outcome sum;
        for (const outcome& each : m_classes) {
            sum.asked += each.asked;
            sum.admitted += each.admitted;
            sum.allowed += each.allowed;
            sum.wrongly_refused += each.wrongly_refused;
            sum.requests += each.requests;
            sum.admitted_requests += each.admitted_requests;
        }
        return sum;
    }

    /// Outcomes in the order of `options::classes`.
    const std::vector<outcome>& by_class() const { return m_classes; }

    /// The most that may be admitted in a span of this length.
    double bound(absl::Duration span) const
    {
        return (m_options.rate * absl::ToDoubleSeconds(span) + m_options.burst) *
                   (1 + tolerated_excess) +
               slack_tokens;
    }

private:
    static constexpr double tolerated_excess = 0.1;
    static constexpr double slack_tokens = 140'000;
    static constexpr absl::Duration step = absl::Milliseconds(10);
    static constexpr absl::Duration down_time = absl::Milliseconds(700);
    static constexpr absl::Duration other_region_interval = absl::Milliseconds(500);
    static constexpr std::size_t regions = 3;

    struct node
    {
        admission::token_quota quota;
        absl::Time next_report;
        absl::Time next_report_to_others;
        // The last totals received from each node.
        std::vector<double> heard;
    };

    struct report
    {
        std::size_t from;
        std::size_t to;
        double total;
    };

    struct admitted_request
    {
        absl::Time at;
        double cost;
    };

    double uniform() { return std::uniform_real_distribution<>(0, 1)(m_random); }

    absl::Duration region_interval() const
    {
        const auto peers = static_cast<int>(m_nodes.size() / regions) - 1;
        return std::max(absl::Milliseconds(100), absl::Milliseconds(12) * peers);
    }

    void start_node(std::size_t index, absl::Time now, bool starts_empty)
    {
        node& started = m_nodes[index];
        started.quota = admission::token_quota({.starts_empty = starts_empty,
                                                .excess_ratio = tolerated_excess,
                                                .slack_tokens = slack_tokens});
        started.quota.set_node_count(m_options.nodes);
        started.quota.set_workspaces({{.name = m_workspace,
                                       .counts_tokens = true,
                                       .rate = m_options.rate,
                                       .burst = m_options.burst}},
                                     now);
        started.next_report = now + region_interval() * uniform();
        started.next_report_to_others = now + other_region_interval * uniform();
        started.heard.assign(m_nodes.size(), 0);
    }

    void send_requests(absl::Time now, bool nodes_are_up)
    {
        m_reference_level = std::min(
            m_options.burst, m_reference_level + m_options.rate * absl::ToDoubleSeconds(step));
        const double demand =
            now - m_start >= m_options.later_from ? m_options.later_demand : m_options.demand;
        const double asked = demand * m_options.rate * absl::ToDoubleSeconds(step);
        if (m_options.classes.empty()) {
            const int count = std::poisson_distribution<>(asked / m_options.mean_cost)(m_random);
            for (int i = 0; i < count; ++i)
                // The mean of this distribution is `mean_cost`.
                send_request(
                    std::min(m_options.mean_cost * std::lognormal_distribution<>(-0.5, 1)(m_random),
                             m_options.max_cost),
                    0, 0, now, nodes_are_up);
            return;
        }
        std::vector<std::size_t> arrivals;
        for (std::size_t i = 0; i < m_options.classes.size(); ++i) {
            const traffic_class& each = m_options.classes[i];
            const int count = std::poisson_distribution<>(asked * each.share / each.cost)(m_random);
            arrivals.insert(arrivals.end(), static_cast<std::size_t>(count), i);
        }
        std::shuffle(arrivals.begin(), arrivals.end(), m_random);
        for (const std::size_t i : arrivals)
            send_request(m_options.classes[i].cost, m_options.classes[i].priority, i, now,
                         nodes_are_up);
    }

    void send_request(double cost, int priority, std::size_t class_index, absl::Time now,
                      bool nodes_are_up)
    {
        const std::size_t hot_nodes = std::max<std::size_t>(1, m_nodes.size() / 10);
        const std::size_t receivers =
            uniform() < m_options.concentration ? hot_nodes : m_nodes.size();
        node& receiver = m_nodes[m_random() % receivers];
        const bool is_allowed = m_reference_level >= cost;
        m_reference_level -= is_allowed ? cost : 0;
        const bool is_admitted = nodes_are_up && admit(receiver, cost, priority, now);
        if (is_admitted)
            m_admissions.push_back({now, cost});
        if (now - m_start < m_options.measured_from)
            return;
        outcome& counts = m_classes[class_index];
        ++counts.requests;
        counts.asked += cost;
        counts.allowed += is_allowed ? cost : 0;
        counts.wrongly_refused += is_allowed && !is_admitted ? cost : 0;
        counts.admitted_requests += is_admitted ? 1 : 0;
        counts.admitted += is_admitted ? cost : 0;
    }

    bool admit(node& receiver, double cost, int priority, absl::Time now)
    {
        return receiver.quota.try_admit(m_workspace,
                                        {.cost = cost, .priority = priority, .sample = uniform()},
                                        now) == admission::token_quota::decision::admitted;
    }

    bool is_cut(std::size_t index, absl::Time now) const
    {
        const absl::Duration since = now - m_start - m_options.cut_from;
        return static_cast<double>(index) <
                   m_options.cut_share * static_cast<double>(m_nodes.size()) &&
               since >= absl::ZeroDuration() && since < m_options.cut_for;
    }

    void send_reports(std::size_t from, absl::Time now)
    {
        node& sender = m_nodes[from];
        const bool to_region = now >= sender.next_report;
        const bool to_others = now >= sender.next_report_to_others;
        const auto& admitted = sender.quota.admitted();
        const double total = admitted.empty() ? 0 : admitted.begin()->second;
        for (std::size_t region = 0; region < regions; ++region) {
            const bool is_own = region == from % regions;
            if (!(is_own ? to_region : to_others) || uniform() < m_options.loss)
                continue;
            const absl::Time at = is_own ? now : now + region_interval() * uniform();
            for (std::size_t to = region; to < m_nodes.size(); to += regions)
                if (to != from && uniform() >= m_options.loss && !is_cut(from, now) &&
                    !is_cut(to, now))
                    m_reports.emplace(at + m_options.max_delay * uniform(),
                                      report{from, to, total});
        }
        if (to_region)
            sender.next_report = now + region_interval();
        if (to_others)
            sender.next_report_to_others = now + other_region_interval;
    }

    void deliver_reports(absl::Time now)
    {
        while (!m_reports.empty() && m_reports.begin()->first <= now) {
            const report arrived = m_reports.begin()->second;
            m_reports.erase(m_reports.begin());
            node& receiver = m_nodes[arrived.to];
            double& heard = receiver.heard[arrived.from];
            heard = std::max(heard, arrived.total);
            const std::map<workspace_id, double> admitted{{m_workspace, heard}};
            receiver.quota.on_peer_report(node_id(std::to_string(arrived.from)),
                                          {.admitted = admitted}, now);
        }
    }

    const absl::Time m_start = absl::FromUnixSeconds(1000);
    const workspace_id m_workspace{"workshop"};
    options m_options;
    std::vector<node> m_nodes;
    std::multimap<absl::Time, report> m_reports;
    std::vector<admitted_request> m_admissions;
    std::vector<outcome> m_classes;
    // Level of one bucket for all nodes, without tolerance.
    double m_reference_level;
    std::mt19937_64 m_random;
};

} // namespace chivedeal::fakes

#endif
