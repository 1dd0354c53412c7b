#include "chivedeal/forward/endpoint_record.hpp"
#include "chivedeal/forward/node_count_estimate.hpp"
#include "chivedeal/regions/cold_limiter.hpp"
#include "chivedeal/regions/endpoint_gate.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace chivedeal::regions {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
constexpr absl::Duration step = absl::Milliseconds(10);
// Requests that a busy node has for the endpoint in each step.
constexpr int requests_per_step = 5;
const service_id service("s");

// Guards against idle nodes that accumulate permits for a burst.
TEST(cold_limiter, permits_expire_unused)
{
    cold_limiter limiter;
    EXPECT_FALSE(limiter.has_permit(start));
    limiter.set_share({.period = absl::Seconds(10), .lifetime = absl::Milliseconds(200)}, 0.5,
                      start);
    EXPECT_FALSE(limiter.has_permit(start + absl::Milliseconds(4999)));
    EXPECT_TRUE(limiter.has_permit(start + absl::Seconds(5)));
    EXPECT_FALSE(limiter.has_permit(start + absl::Milliseconds(5200)));
    const absl::Time later = start + absl::Milliseconds(35100);
    EXPECT_TRUE(limiter.has_permit(later));
    limiter.spend(later);
    EXPECT_FALSE(limiter.has_permit(later));
    EXPECT_TRUE(limiter.has_permit(start + absl::Seconds(45)));
}

// Guards against extra permits whenever the share is set again.
TEST(cold_limiter, keeps_its_phase_while_the_share_is_unchanged)
{
    const cold_share share{.period = absl::Seconds(1), .lifetime = absl::Seconds(1)};
    cold_limiter limiter;
    limiter.set_share(share, 0, start);
    limiter.spend(start);
    limiter.set_share(share, 0, start + step);
    EXPECT_FALSE(limiter.has_permit(start + step));
    EXPECT_TRUE(limiter.has_permit(start + absl::Seconds(1)));
    limiter.set_share({}, 0, start);
    EXPECT_FALSE(limiter.has_permit(start + absl::Hours(1)));
}

/// Counts the requests that a cold endpoint receives and the most in any one second.
class request_log
{
public:
    void add(absl::Time now)
    {
        ++total;
        m_recent.push_back(now);
        while (now - m_recent.front() >= absl::Seconds(1))
            m_recent.pop_front();
        most_per_second = std::max(most_per_second, m_recent.size());
    }

    std::size_t total = 0;
    std::size_t most_per_second = 0;

private:
    std::deque<absl::Time> m_recent;
};

/// Nodes that start together and send to one cold endpoint. They register and hear of each other
/// with delays, and some beacons are lost.
class cold_start
{
public:
    cold_start(int nodes, double requests_per_s, std::uint64_t seed) : m_random(seed)
    {
        for (int i = 0; i < nodes; ++i) {
            auto added = std::make_unique<node>(m_random());
            added->registered_at = start + seconds_up_to(6);
            added->gate.set_cold_specs(
                {{service, {.cold_time = absl::Hours(1), .requests_per_s = requests_per_s}}},
                start);
            added->gate.on_endpoints_loaded();
            added->gate.set_node_count(added->count.upper_bound(1, start), start);
            added->gate.on_record(m_record, start);
            m_nodes.push_back(std::move(added));
        }
    }

    /// Runs for `duration`. Node 0 sees a hundredth of the traffic. All nodes are idle until a
    /// burst at the beginning of each `burst_interval`, or always busy without one.
    request_log run(absl::Duration duration, absl::Duration burst_interval)
    {
        request_log log;
        const absl::Time end = m_now + duration;
        for (; m_now < end; m_now += step) {
            update_counts();
            const bool is_busy = burst_interval == absl::ZeroDuration() ||
                                 (m_now - start) % burst_interval < absl::Seconds(1);
            for (std::size_t i = 0; is_busy && i < m_nodes.size(); ++i)
                if (i > 0 || m_random() % 100 == 0)
                    send(m_nodes[i]->gate, log);
        }
        return log;
    }

private:
    struct node
    {
        explicit node(std::uint64_t seed) : gate({.seed = seed}) {}

        endpoint_gate gate;
        forward::node_count_estimate count{{.started_at = start, .is_first_start = true}};
        absl::Time registered_at;
    };

    absl::Duration seconds_up_to(double limit)
    {
        return absl::Seconds(std::uniform_real_distribution<double>(0, limit)(m_random));
    }

    // Each node reads the list of registered nodes now and then, and hears of a random part of them.
    void update_counts()
    {
        if ((m_now - start) % absl::Milliseconds(500) != absl::ZeroDuration())
            return;
        const auto registered =
            std::count_if(m_nodes.begin(), m_nodes.end(), [this](const auto& candidate) {
                return candidate->registered_at <= m_now;
            });
        for (const auto& reader : m_nodes) {
            if (m_random() % 3 == 0)
                reader->count.on_listed(static_cast<int>(registered));
            const int heard = static_cast<int>(m_random() % (m_nodes.size() + 1));
            reader->gate.set_node_count(reader->count.upper_bound(heard, m_now), m_now);
        }
    }

    void send(endpoint_gate& gate, request_log& log)
    {
        for (int i = 0; i < requests_per_step; ++i) {
            if (gate.check(m_record, {}, m_now) != gate_verdict::allowed)
                return;
            gate.on_sent(m_record.id, m_now);
            log.add(m_now);
        }
    }

    std::mt19937_64 m_random;
    forward::endpoint_record m_record{.id = endpoint_id("e"), .service = service};
    std::vector<std::unique_ptr<node>> m_nodes;
    absl::Time m_now = start;
};

double allowed_per_second(double requests_per_s) { return requests_per_s * 1.5 + 5; }

// Guards against the crash of cold endpoints: all nodes together sent more requests in a second than
// an endpoint withstands.
RC_GTEST_PROP(cold_limit, holds_over_all_nodes, ())
{
    const int nodes = *rc::gen::element(3, 9, 73, 400);
    const double rate = *rc::gen::element(1.0, 4.0, 10.0, 40.0);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const bool bursts = *rc::gen::arbitrary<bool>();
    cold_start system(nodes, rate, seed);
    const request_log log =
        system.run(absl::Seconds(30), bursts ? absl::Milliseconds(2370) : absl::ZeroDuration());
    RC_ASSERT(static_cast<double>(log.most_per_second) <= allowed_per_second(rate));
}

// Guards against a limit that hardly lets requests through.
TEST(cold_limit, uses_a_good_part_of_the_rate_under_load)
{
    for (const int nodes : {3, 9, 73, 400}) {
        constexpr double rate = 10;
        cold_start system(nodes, rate, 5);
        system.run(absl::Seconds(12), absl::ZeroDuration());
        const request_log log = system.run(absl::Seconds(60), absl::ZeroDuration());
        EXPECT_GE(static_cast<double>(log.total), 0.4 * rate * 60) << nodes;
        EXPECT_LE(static_cast<double>(log.total), rate * 60) << nodes;
    }
}

// Guards against a node count that is too low: the list of registered nodes is still short when all
// nodes start together for the first time, and unknown before it was read.
TEST(cold_limit, does_not_underestimate_the_nodes)
{
    forward::node_count_estimate first({.started_at = start, .is_first_start = true});
    EXPECT_EQ(first.upper_bound(1, start), 400);
    first.on_listed(3);
    EXPECT_EQ(first.upper_bound(5, start + absl::Seconds(9)), 400);
    EXPECT_EQ(first.upper_bound(5, start + absl::Seconds(10)), 5);
    first.on_listed(73);
    EXPECT_EQ(first.upper_bound(5, start + absl::Seconds(10)), 73);
    forward::node_count_estimate restarted({.started_at = start});
    EXPECT_EQ(restarted.upper_bound(1, start + absl::Minutes(1)), 400);
    restarted.on_listed(9);
    EXPECT_EQ(restarted.upper_bound(2, start), 9);
    EXPECT_EQ(restarted.upper_bound(12, start), 12);
}

} // namespace
} // namespace chivedeal::regions
