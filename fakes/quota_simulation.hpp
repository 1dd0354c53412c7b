#ifndef FAKES_QUOTA_SIMULATION_HPP
#define FAKES_QUOTA_SIMULATION_HPP

#include "chivedeal/forward/token_quota.hpp"

#include "absl/time/time.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <map>
#include <random>
#include <vector>

namespace chivedeal::fakes {

/// Lets nodes admit the requests of one workspace and report to each other as beacons do: within
/// three regions directly, to other regions through a relay.
class quota_simulation
{
public:
    struct options
    {
        int nodes = 3;
        /// The limit, in tokens per second and tokens.
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
    };

    explicit quota_simulation(options settings)
        : m_options(settings),
          m_nodes(static_cast<std::size_t>(settings.nodes)),
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
                    each.quota.on_exchange();
            }
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                send_reports(i, now);
            deliver_reports(now);
        }
    }

    /// Largest total cost admitted in any span of this length.
    double max_admitted_within(absl::Duration span) const
    {
        std::deque<admission> recent;
        double sum = 0;
        double largest = 0;
        for (const admission& each : m_admissions) {
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
    double admitted_share() const { return m_admitted / m_asked; }

private:
    static constexpr absl::Duration step = absl::Milliseconds(10);
    static constexpr absl::Duration down_time = absl::Milliseconds(700);
    static constexpr absl::Duration other_region_interval = absl::Milliseconds(500);
    static constexpr std::size_t regions = 3;

    struct node
    {
        forward::token_quota quota;
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

    struct admission
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
        started.quota = forward::token_quota({.starts_empty = starts_empty});
        started.quota.set_node_count(m_options.nodes);
        started.quota.set_report_delay(region_interval() / 2 + other_region_interval / 2);
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
        const double mean_count =
            m_options.demand * m_options.rate / m_options.mean_cost * absl::ToDoubleSeconds(step);
        const int count = std::poisson_distribution<>(mean_count)(m_random);
        for (int i = 0; i < count; ++i) {
            // The mean of this distribution is `mean_cost`.
            const double cost =
                std::min(m_options.mean_cost * std::lognormal_distribution<>(-0.5, 1)(m_random),
                         m_options.max_cost);
            node& receiver = m_nodes[m_random() % m_nodes.size()];
            const bool is_measured = now - m_start >= m_options.measured_from;
            m_asked += is_measured ? cost : 0;
            if (!nodes_are_up || !receiver.quota.try_admit(m_workspace, cost, uniform(), now))
                continue;
            m_admissions.push_back({now, cost});
            m_admitted += is_measured ? cost : 0;
        }
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
                if (to != from && uniform() >= m_options.loss)
                    m_reports.emplace(at, report{from, to, total});
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
            if (arrived.total > heard)
                receiver.quota.on_peers_admitted(m_workspace, arrived.total - heard, now);
            heard = std::max(heard, arrived.total);
        }
    }

    const absl::Time m_start = absl::FromUnixSeconds(1000);
    const workspace_id m_workspace{"workshop"};
    options m_options;
    std::vector<node> m_nodes;
    std::multimap<absl::Time, report> m_reports;
    std::vector<admission> m_admissions;
    double m_asked = 0;
    double m_admitted = 0;
    std::mt19937_64 m_random;
};

} // namespace chivedeal::fakes

#endif
