#include "chivedeal/requests/affinity_policy.hpp"

#include "chivedeal/requests/load_report.hpp"
#include "chivedeal/requests/route_choice.hpp"

#include "fakes/cluster_builder.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <map>
#include <set>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)
using fakes::cluster_builder;

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);

affinity_policy::options options_for_first_zone()
{
    return {.own_region = region_id("r0"), .own_zone = zone_id("z0")};
}

// A policy with the builder's state and view.
class test_policy
{
public:
    explicit test_policy(const cluster_builder& cluster) : m_policy(options_for_first_zone())
    {
        m_policy.on_state(cluster.make_state());
        m_policy.on_view(cluster.make_view(), start);
    }

    affinity_policy& operator*() { return m_policy; }
    affinity_policy* operator->() { return &m_policy; }

    route_choice choose(const route_query& query, absl::Time now = start)
    {
        const auto chosen = m_policy.choose(query, now);
        RC_ASSERT(is_ok(chosen));
        return get_value(chosen);
    }

    std::string endpoint_for(const std::string& request, const std::string& prefix = "")
    {
        return choose(cluster_builder::query(request, prefix)).target.id.str();
    }

private:
    affinity_policy m_policy;
};

std::string numbered_name(const char* name, int number) { return name + std::to_string(number); }

load_report idle_report(const std::string& endpoint)
{
    return {.endpoint = endpoint_id(endpoint), .slots = 8, .tokens_per_second = 800};
}

} // namespace

// Guards against routing to an endpoint that is leaving, runs a bad version or has already failed
// the request, and against a refusal while an endpoint of the old version is usable.
RC_GTEST_PROP(affinity_policy, never_chooses_an_unusable_endpoint, ())
{
    const int count = *rc::gen::inRange(1, 60);
    cluster_builder cluster(0);
    cluster.declare("v2", 2).move(*rc::gen::element(0.0, 0.05, 0.5, 1.0));
    const bool bad_by_state = *rc::gen::arbitrary<bool>();
    const bool bad_by_fact = *rc::gen::arbitrary<bool>();
    if (bad_by_state)
        cluster.state().bad_versions[{service_id("s"), version_id("v2")}] = 2;
    if (bad_by_fact)
        cluster.view().bad_versions = {
            {.service = service_id("s"), .version = version_id("v2"), .declared_offset = 2}};
    route_query query = cluster_builder::query(*rc::gen::arbitrary<std::string>(), "p");
    std::set<std::string> usable;
    for (int i = 0; i < count; ++i) {
        const bool trial = *rc::gen::arbitrary<bool>();
        const bool leaving = *rc::gen::arbitrary<bool>();
        const bool failed = *rc::gen::arbitrary<bool>();
        cluster.add(i, i % 6, trial ? "v2" : "v1");
        auto& added = cluster.view().endpoints.back();
        if (leaving)
            added.status = membership::endpoint_status::leaving;
        if (failed)
            query.excluded.insert(added.id);
        if (!leaving && !failed && (!trial || (!bad_by_state && !bad_by_fact)))
            usable.insert(added.id.str());
    }
    test_policy policy(cluster);
    const auto chosen = policy->choose(query, start);
    if (is_ok(chosen))
        RC_ASSERT(usable.contains(get_value(chosen).target.id.str()));
    bool has_regular = false;
    for (const auto& each : cluster.view().endpoints)
        has_regular =
            has_regular || (each.version == version_id("v1") && usable.contains(each.id.str()));
    RC_ASSERT(is_ok(chosen) || !has_regular);
}

// Guards against a bad-version verdict that stays in force after the version is declared again.
TEST(affinity_policy, clears_a_bad_verdict_on_a_new_declaration)
{
    cluster_builder cluster(6);
    cluster.view().bad_versions = {
        {.service = service_id("s"), .version = version_id("v1"), .declared_offset = 1}};
    test_policy policy(cluster);
    EXPECT_FALSE(is_ok(policy->choose(cluster_builder::query("r"), start)));
    policy->on_state(cluster.declare("v1", 5).make_state());
    EXPECT_TRUE(is_ok(policy->choose(cluster_builder::query("r"), start)));
}

// Guards against nodes that route the same prefix to different endpoints.
RC_GTEST_PROP(affinity_policy, all_nodes_choose_the_same_rendezvous_endpoint,
              (const std::string& prefix, const std::string& a, const std::string& b))
{
    RC_PRE(!prefix.empty());
    cluster_builder cluster(60);
    test_policy first_node(cluster);
    test_policy second_node(cluster);
    RC_ASSERT(first_node.endpoint_for(a, prefix) == second_node.endpoint_for(b, prefix));
}

// Guards against the loss of an endpoint moving the prefixes of the remaining endpoints.
RC_GTEST_PROP(affinity_policy, moves_only_the_prefixes_of_a_lost_endpoint, ())
{
    cluster_builder cluster(30);
    test_policy before(cluster);
    const auto lost_index = *rc::gen::inRange<std::size_t>(0, 30);
    const std::string lost_id = cluster.view().endpoints[lost_index].id.str();
    cluster.view().endpoints[lost_index].status = membership::endpoint_status::leaving;
    test_policy after(cluster);
    for (int i = 0; i < 50; ++i) {
        const std::string home = before.endpoint_for("r", numbered_name("p", i));
        const std::string now = after.endpoint_for("r", numbered_name("p", i));
        RC_ASSERT(home == lost_id || now == home);
    }
}

// Guards against a frequent prefix that overloads its endpoint while the reports still show it as
// idle: the node's own attempts since the report must count.
TEST(affinity_policy, counts_own_attempts_since_the_last_report)
{
    cluster_builder cluster(12);
    test_policy policy(cluster);
    for (int i = 0; i < 12; ++i)
        policy->on_load(idle_report(numbered_name("e", i)), start);
    std::map<std::string, int> uses;
    for (int i = 0; i < 12 * 8; ++i) {
        const route_query query = cluster_builder::query(numbered_name("r", i), "hot");
        const std::string chosen = policy.choose(query).target.id.str();
        policy->on_attempt_started(endpoint_id(chosen), query, start);
        ++uses[chosen];
    }
    for (const auto& [endpoint, count] : uses)
        EXPECT_LE(count, 16) << endpoint;
    EXPECT_GE(uses.size(), 4U);
}

// Guards against relying on an outdated report that shows an idle endpoint as full.
TEST(affinity_policy, ignores_a_stale_load_report)
{
    cluster_builder cluster(12);
    test_policy policy(cluster);
    const std::string home = policy.endpoint_for("r", "p");
    load_report full = idle_report(home);
    full.running = 8;
    full.queued = 50;
    policy->on_load(full, start);
    EXPECT_NE(policy.endpoint_for("r", "p"), home);
    const absl::Time later = start + absl::Seconds(20);
    EXPECT_EQ(policy.choose(cluster_builder::query("r", "p"), later).target.id.str(), home);
    // A report that is already outdated on arrival is ignored too.
    full.age = absl::Seconds(20);
    policy->on_load(full, later);
    EXPECT_EQ(policy.choose(cluster_builder::query("r", "p"), later).target.id.str(), home);
}

// Guards against routing by hash alone when another engine has reported the prefix as cached.
TEST(affinity_policy, prefers_a_cached_prefix_over_the_rendezvous_endpoint)
{
    cluster_builder cluster(12, 2);
    test_policy policy(cluster);
    const std::string home = policy.endpoint_for("r", "p");
    const std::string other = home == "e0" ? "e1" : "e0";
    const route_query query = cluster_builder::query("r", "p");
    policy->on_cached(endpoint_id(other), query, 4000, start);
    EXPECT_EQ(policy.endpoint_for("r2", "p"), other);
    EXPECT_EQ(policy.choose(query).reason, "cached");
}

// Guards against an unproven version that gets more than its share, or whose requests are spread
// over so many endpoints that they do not show how it behaves under load.
TEST(affinity_policy, routes_the_trial_share_to_few_endpoints)
{
    cluster_builder cluster(40);
    cluster.declare("v2", 2).move(0.05);
    for (int i = 40; i < 80; ++i)
        cluster.add(i, i % 6, "v2");
    test_policy policy(cluster);
    std::set<std::string> used;
    int trial_requests = 0;
    constexpr int requests = 20'000;
    for (int i = 0; i < requests; ++i) {
        const route_choice chosen = policy.choose(cluster_builder::query(numbered_name("r", i)));
        if (chosen.target.version != version_id("v2"))
            continue;
        ++trial_requests;
        used.insert(chosen.target.id.str());
    }
    // Five standard deviations of a binomial distribution with p = 0.05.
    EXPECT_NEAR(trial_requests, 1000, 155);
    EXPECT_LE(used.size(), 2U);
}

// Guards against a request that gets different versions on different nodes.
RC_GTEST_PROP(affinity_policy, chooses_the_version_by_request_id_only, (const std::string& request))
{
    cluster_builder cluster(12);
    cluster.declare("v2", 2).move(0.5);
    for (int i = 12; i < 24; ++i)
        cluster.add(i, i % 6, "v2");
    test_policy first_node(cluster);
    test_policy second_node(cluster);
    const auto busy = cluster_builder::query("busy", "p");
    for (int i = 0; i < 30; ++i)
        second_node->on_attempt_started(endpoint_id(numbered_name("e", i % 24)), busy, start);
    RC_ASSERT(first_node.choose(cluster_builder::query(request)).target.version ==
              second_node.choose(cluster_builder::query(request)).target.version);
}

// Guards against routing all traffic to an unproven or rolled-back version when the old version has
// no endpoint left.
TEST(affinity_policy, does_not_fall_back_to_an_unproven_version)
{
    cluster_builder cluster(0);
    cluster.declare("v2", 2).move(0).add(1, 0, "v2");
    test_policy policy(cluster);
    EXPECT_FALSE(is_ok(policy->choose(cluster_builder::query("r"), start)));
    policy->on_state(cluster.move(0.5, state::move_status::rolled_back).make_state());
    EXPECT_FALSE(is_ok(policy->choose(cluster_builder::query("r"), start)));
    policy->on_state(cluster.move(0.5).make_state());
    EXPECT_TRUE(is_ok(policy->choose(cluster_builder::query("r"), start)));
}

// Guards against a retry in the zone where the previous attempt failed.
RC_GTEST_PROP(affinity_policy, retries_in_another_zone, (const std::string& request))
{
    cluster_builder cluster(24);
    test_policy policy(cluster);
    route_query query = cluster_builder::query(request, "p");
    const membership::endpoint first = policy.choose(query).target;
    policy->on_attempt_started(first.id, query, start);
    policy->on_attempt_ended(first.id, query, true, start);
    query.excluded.insert(first.id);
    RC_ASSERT(policy.choose(query).target.zone != first.zone);
}

// Guards against overloading a new endpoint because it appears idle, and against a new endpoint
// that never gets its share.
TEST(affinity_policy, ramps_up_a_new_endpoint)
{
    cluster_builder cluster(11, 1);
    test_policy policy(cluster);
    cluster.add(11, 0);
    policy->on_view(cluster.make_view(), start);
    const auto prefixes_at_new = [&](absl::Time now) {
        int count = 0;
        for (int i = 0; i < 1200; ++i)
            count +=
                policy.choose(cluster_builder::query("r", numbered_name("p", i)), now).target.id ==
                        endpoint_id("e11")
                    ? 1
                    : 0;
        return count;
    };
    // The full share is 1 in 12; the initial share is a tenth of that.
    EXPECT_LT(prefixes_at_new(start + absl::Seconds(1)), 30);
    EXPECT_GT(prefixes_at_new(start + absl::Seconds(60)), 60);
}

// Guards against a log line that does not explain the decision.
TEST(affinity_policy, reports_the_scored_candidates)
{
    test_policy policy((cluster_builder(6)));
    const route_choice chosen = policy.choose(cluster_builder::query("r", "p"));
    EXPECT_EQ(chosen.reason, "rendezvous");
    EXPECT_NE(chosen.candidates.find(chosen.target.id.str() + "="), std::string::npos);
    EXPECT_GT(chosen.score, 0);
    EXPECT_EQ(chosen.target.version, version_id("v1"));
}
