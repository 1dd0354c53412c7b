#include "chivedeal/requests/reclaim_planner.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)

namespace {

std::string numbered(const char* name, int number) { return name + std::to_string(number); }

reclaim_source make_source(const std::string& name, absl::Duration time_left)
{
    return {.id = endpoint_id(name),
            .region = region_id("r0"),
            .zone = zone_id("z0"),
            .time_left = time_left,
            .stream_tokens_per_second = 20,
            .export_bytes_per_second = 1e8};
}

reclaim_stream make_stream(const std::string& name, const std::string& source, int tokens,
                           double kv_bytes)
{
    return {.request = request_id(name),
            .source = endpoint_id(source),
            .prompt_tokens = static_cast<std::uint64_t>(tokens),
            .tokens_so_far = 10,
            .expected_tokens_left = 100'000,
            .kv_bytes = static_cast<std::uint64_t>(kv_bytes)};
}

reclaim_target make_target(const std::string& name, const std::string& region,
                           const std::string& zone, int slots)
{
    return {.id = endpoint_id(name),
            .region = region_id(region),
            .zone = zone_id(zone),
            .free_slots = slots,
            .free_kv_bytes = 1e9};
}

// Several endpoints of one zone leave at the same time.
struct mass_reclaim
{
    std::vector<reclaim_stream> streams;
    std::vector<reclaim_source> sources;
    std::vector<reclaim_target> targets;
};

mass_reclaim arbitrary_reclaim()
{
    mass_reclaim reclaim;
    const int sources = *rc::gen::inRange(1, 5);
    for (int i = 0; i < sources; ++i)
        reclaim.sources.push_back(
            make_source(numbered("s", i), absl::Seconds(*rc::gen::inRange(0, 120))));
    const int streams = *rc::gen::inRange(0, 25);
    for (int i = 0; i < streams; ++i) {
        reclaim_stream stream =
            make_stream(numbered("q", i), numbered("s", *rc::gen::inRange(0, sources)),
                        *rc::gen::inRange(1, 20'000), *rc::gen::inRange(0, 5) * 2e8);
        stream.expected_tokens_left = *rc::gen::inRange(0, 4000);
        stream.movable = *rc::gen::inRange(0, 5) > 0;
        reclaim.streams.push_back(stream);
    }
    const int targets = *rc::gen::inRange(0, 6);
    for (int i = 0; i < targets; ++i)
        reclaim.targets.push_back(make_target(numbered("t", i), numbered("r", i % 2),
                                              numbered("z", i), *rc::gen::inRange(0, 6)));
    // A leaving endpoint that is still listed as a target must not be used.
    reclaim.targets.push_back(make_target("s0", "r0", "z0", 10));
    return reclaim;
}

bool overlap(const reclaim_step& a, const reclaim_step& b)
{
    return a.start < b.end && b.start < a.end;
}

} // namespace

// Guards against a stream without a step or with two.
RC_GTEST_PROP(reclaim_planner, plans_one_step_per_stream, ())
{
    const mass_reclaim given = arbitrary_reclaim();
    std::multiset<request_id> planned;
    for (const auto& step : reclaim_planner().plan(given.streams, given.sources, given.targets))
        planned.insert(step.request);
    std::multiset<request_id> all;
    for (const auto& stream : given.streams)
        all.insert(stream.request);
    RC_ASSERT(planned == all);
}

// Guards against overloading the targets: their capacity is never exceeded, and neither transfers
// over one link nor prompts at one target overlap.
RC_GTEST_PROP(reclaim_planner, respects_target_capacity_and_rates, ())
{
    const mass_reclaim given = arbitrary_reclaim();
    const auto steps = reclaim_planner().plan(given.streams, given.sources, given.targets);
    std::map<endpoint_id, reclaim_target> remaining;
    for (const auto& target : given.targets)
        remaining[target.id] = target;
    for (const auto& step : steps) {
        if (step.target.empty())
            continue;
        const auto stream = std::find_if(given.streams.begin(), given.streams.end(),
                                         [&](const auto& s) { return s.request == step.request; });
        RC_ASSERT(step.target != endpoint_id("s0"));
        RC_ASSERT(--remaining[step.target].free_slots >= 0);
        RC_ASSERT((remaining[step.target].free_kv_bytes -= static_cast<double>(stream->kv_bytes)) >=
                  0);
        for (const auto& other : steps) {
            if (other.request == step.request || other.action != step.action)
                continue;
            const bool same_link =
                other.target == step.target ||
                (step.action == reclaim_action::export_kv && other.source == step.source);
            RC_ASSERT(!same_link || !overlap(step, other));
        }
    }
}

// Guards against an export that the reclaim interrupts, and against keeping a stream that cannot end
// in time.
RC_GTEST_PROP(reclaim_planner, ends_steps_before_the_reclaim, ())
{
    const mass_reclaim given = arbitrary_reclaim();
    for (const auto& step : reclaim_planner().plan(given.streams, given.sources, given.targets)) {
        const auto source = std::find_if(given.sources.begin(), given.sources.end(),
                                         [&](const auto& s) { return s.id == step.source; });
        if (step.action == reclaim_action::export_kv ||
            (step.action == reclaim_action::finish && step.reason == "ends_in_time"))
            RC_ASSERT(step.end < source->time_left);
    }
}

// Guards against spending scarce transfer time on streams with few tokens at risk.
RC_GTEST_PROP(reclaim_planner, exports_most_tokens_per_second_first, ())
{
    const mass_reclaim given = arbitrary_reclaim();
    std::map<endpoint_id, double> previous_rates;
    for (const auto& step : reclaim_planner().plan(given.streams, given.sources, given.targets)) {
        if (step.action != reclaim_action::export_kv)
            continue;
        const auto stream = std::find_if(given.streams.begin(), given.streams.end(),
                                         [&](const auto& s) { return s.request == step.request; });
        const double tokens_per_second =
            static_cast<double>(stream->prompt_tokens + stream->tokens_so_far) /
            (0.05 + static_cast<double>(stream->kv_bytes) / 1e8);
        if (previous_rates.contains(step.source))
            RC_ASSERT(tokens_per_second <= previous_rates[step.source] * 1.000001);
        previous_rates[step.source] = tokens_per_second;
    }
}

// Guards against moves into the zone that is being reclaimed, and against transfers between regions
// while the same region has capacity.
TEST(reclaim_planner, prefers_same_region_and_other_zone)
{
    const auto first_target = [](std::vector<reclaim_target> targets) {
        return reclaim_planner()
            .plan({make_stream("q", "s", 1000, 1e8)}, {make_source("s", absl::Seconds(60))},
                  targets)
            .front()
            .target.str();
    };
    const reclaim_target same_zone = make_target("same_zone", "r0", "z0", 1);
    const reclaim_target same_region = make_target("same_region", "r0", "z1", 1);
    const reclaim_target far = make_target("far", "r1", "z2", 1);
    EXPECT_EQ(first_target({far, same_zone, same_region}), "same_region");
    EXPECT_EQ(first_target({far, same_zone}), "same_zone");
    EXPECT_EQ(first_target({far}), "far");
    EXPECT_EQ(first_target({}), "");
}

// Guards against an action that does not suit the time left.
TEST(reclaim_planner, chooses_the_action_by_time_left)
{
    const auto action = [](reclaim_stream stream, absl::Duration time_left) {
        return reclaim_planner()
            .plan({stream}, {make_source("s", time_left)}, {make_target("t", "r0", "z1", 1)})
            .front()
            .action;
    };
    reclaim_stream stream = make_stream("q", "s", 1000, 5e8);
    EXPECT_EQ(action(stream, absl::Seconds(30)), reclaim_action::export_kv);
    EXPECT_EQ(action(stream, absl::Seconds(4)), reclaim_action::resume_tokens);
    EXPECT_EQ(action(stream, absl::InfiniteDuration()), reclaim_action::finish);
    stream.expected_tokens_left = 100;
    EXPECT_EQ(action(stream, absl::Seconds(30)), reclaim_action::finish);
    stream = make_stream("q", "s", 1000, 0);
    EXPECT_EQ(action(stream, absl::Seconds(30)), reclaim_action::resume_tokens);
}
