#include "chivedeal/forward/crash_tracker.hpp"
#include "chivedeal/forward/prompt_quarantine.hpp"

#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const std::vector<prompt_part> deadly_prompt{{"common", 5}, {"deadly", 5}, {"own", 5}};
const std::vector<prompt_part> sound_prompt{{"common", 5}, {"other", 5}, {"own", 5}};

absl::Time at(int seconds) { return start + absl::Seconds(seconds); }

void crash_repeatedly(prompt_quarantine& quarantine, int count)
{
    for (int i = 0; i < count; ++i)
        quarantine.on_crash(absl::StrCat("e", i), deadly_prompt, at(i));
}

bool is_blocked(const prompt_quarantine& quarantine, const std::vector<prompt_part>& prefix,
                absl::Time now = at(10))
{
    const auto refusal = quarantine.refusal(prefix, now);
    return refusal && refusal->blocked;
}

// Prompts that share a deadly part usually share the parts before it as well. Guards against
// refusing all prompts that begin like the deadly ones.
TEST(prompt_quarantine, blocks_only_the_deepest_part_that_explains_the_crashes)
{
    prompt_quarantine quarantine;
    crash_repeatedly(quarantine, 2);
    EXPECT_FALSE(is_blocked(quarantine, deadly_prompt));
    crash_repeatedly(quarantine, 3);
    EXPECT_TRUE(is_blocked(quarantine, deadly_prompt));
    EXPECT_FALSE(is_blocked(quarantine, sound_prompt));
    const std::vector<quarantine_change> changes = quarantine.take_changes();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().part, "deadly");
}

// Guards against suspect parts that fill the memory, as callers choose their names.
TEST(prompt_quarantine, limits_the_number_of_suspect_parts)
{
    prompt_quarantine quarantine({.max_suspect_parts = 10});
    std::vector<prompt_part> prefix;
    for (int i = 0; i < 100; ++i)
        prefix.push_back({.id = absl::StrCat("p", i), .tokens = 1});
    quarantine.on_crash("e1", prefix, start);
    const std::vector<prompt_part> known{{"p0", 1}, {"own", 1}};
    const std::vector<prompt_part> unknown{{"p50", 1}, {"own", 1}};
    EXPECT_TRUE(quarantine.is_suspect(known));
    EXPECT_FALSE(quarantine.is_suspect(unknown));
}

// Guards against blocking a part that all prompts share because endpoints crash for another reason.
TEST(prompt_quarantine, never_blocks_a_part_that_an_endpoint_answered)
{
    prompt_quarantine quarantine;
    quarantine.on_sound(deadly_prompt, start);
    crash_repeatedly(quarantine, 9);
    EXPECT_FALSE(is_blocked(quarantine, deadly_prompt));
}

// The last part belongs to one request; blocking it would only refuse that request's repetition.
TEST(prompt_quarantine, never_blocks_the_last_part)
{
    prompt_quarantine quarantine;
    for (int i = 0; i < 5; ++i)
        quarantine.on_crash(absl::StrCat("e", i), {{"only", 5}}, at(i));
    EXPECT_FALSE(is_blocked(quarantine, {{"only", 5}, {"own", 5}}));
}

// Guards against blocking the parts of prompts that were at the endpoints of a zone when it failed.
TEST(prompt_quarantine, counts_endpoints_that_crash_together_once)
{
    prompt_quarantine quarantine;
    for (int i = 0; i < 9; ++i)
        quarantine.on_crash(absl::StrCat("e", i), deadly_prompt,
                            start + i * absl::Milliseconds(80));
    EXPECT_FALSE(is_blocked(quarantine, deadly_prompt));
}

// Guards against a block that takes as many crashes on each node as on a single one: among many
// nodes, each sees only a few of the crashes.
TEST(prompt_quarantine, adds_up_the_crashes_that_different_nodes_saw)
{
    prompt_quarantine a;
    prompt_quarantine b;
    a.on_crash("e1", deadly_prompt, at(0));
    b.on_crash("e1", deadly_prompt, at(0));
    b.on_crash("e2", deadly_prompt, at(1));
    a.on_peer_suspicions(b.suspicions(at(1)), at(1));
    EXPECT_FALSE(is_blocked(a, deadly_prompt));
    a.on_crash("e3", deadly_prompt, at(2));
    EXPECT_TRUE(is_blocked(a, deadly_prompt));
    b.on_peer_suspicions(a.suspicions(at(2)), at(2));
    EXPECT_TRUE(is_blocked(b, deadly_prompt));
}

// Guards against a node that blocks a part which only its peers have seen answered.
TEST(prompt_quarantine, takes_a_peers_word_that_a_part_is_sound)
{
    prompt_quarantine a;
    prompt_quarantine b;
    b.on_sound(deadly_prompt, at(0));
    a.on_crash("e1", deadly_prompt, at(1));
    b.on_peer_suspicions(a.suspicions(at(1)), at(1));
    a.on_peer_suspicions(b.suspicions(at(1)), at(1));
    crash_repeatedly(a, 5);
    EXPECT_FALSE(is_blocked(a, deadly_prompt));
}

// Guards against a part that counts as sound for ever because its nodes repeat each other's reports.
TEST(prompt_quarantine, forgets_a_response_although_peers_report_it)
{
    prompt_quarantine a;
    prompt_quarantine b;
    a.on_crash("e1", deadly_prompt, at(0));
    b.on_peer_suspicions(a.suspicions(at(0)), at(0));
    a.on_sound(deadly_prompt, at(1));
    for (int i = 2; i < 300; ++i) {
        const absl::Duration delay = absl::Milliseconds(500);
        b.on_peer_suspicions(a.suspicions(at(i) - delay), at(i));
        a.on_peer_suspicions(b.suspicions(at(i) - delay), at(i));
    }
    EXPECT_TRUE(a.suspicions(at(300)).empty());
}

// Guards against a block that outlives its reason.
TEST(prompt_quarantine, releases_a_part_that_an_endpoint_answers_later)
{
    prompt_quarantine a;
    prompt_quarantine b;
    crash_repeatedly(a, 3);
    b.on_peer_suspicions(a.suspicions(at(3)), at(3));
    EXPECT_TRUE(is_blocked(b, deadly_prompt));
    a.on_sound(deadly_prompt, at(4));
    EXPECT_FALSE(is_blocked(a, deadly_prompt));
    b.on_peer_suspicions(a.suspicions(at(5)), at(5));
    EXPECT_FALSE(is_blocked(b, deadly_prompt));
}

// Guards against crashes in quick succession while the first ones are still being found.
TEST(prompt_quarantine, refuses_a_suspect_part_between_trials)
{
    prompt_quarantine quarantine;
    EXPECT_FALSE(quarantine.on_sending(deadly_prompt, at(0)));
    quarantine.on_crash("e1", deadly_prompt, at(0));
    const auto after_crash = quarantine.refusal(deadly_prompt, at(0));
    ASSERT_TRUE(after_crash);
    EXPECT_FALSE(after_crash->blocked);
    EXPECT_GE(after_crash->retry_after, absl::Milliseconds(800));
    EXPECT_LE(after_crash->retry_after, absl::Milliseconds(1800));
    EXPECT_FALSE(quarantine.refusal(deadly_prompt, at(2)));
    EXPECT_TRUE(quarantine.on_sending(deadly_prompt, at(2)));
    EXPECT_TRUE(quarantine.refusal(deadly_prompt, at(3)));
    EXPECT_FALSE(quarantine.refusal(deadly_prompt, at(5)));
}

// Guards against refusing a sound prompt for longer than the trial takes.
TEST(prompt_quarantine, accepts_a_suspect_part_again_once_a_trial_was_answered)
{
    prompt_quarantine a;
    prompt_quarantine b;
    a.on_crash("e1", deadly_prompt, at(0));
    b.on_peer_suspicions(a.suspicions(at(0)), at(0));
    EXPECT_TRUE(b.refusal(deadly_prompt, at(0)));
    a.on_sound(deadly_prompt, at(0));
    EXPECT_TRUE(a.take_urgent_update());
    EXPECT_FALSE(a.refusal(deadly_prompt, at(0)));
    b.on_peer_suspicions(a.suspicions(at(0)), at(0));
    EXPECT_FALSE(b.refusal(deadly_prompt, at(0)));
}

// Guards against trials of many nodes at the same time, each of which may crash an endpoint.
TEST(prompt_quarantine, tries_a_suspect_part_at_few_nodes_at_a_time)
{
    constexpr int node_count = 9;
    constexpr int beacon_delay_steps = 5;
    const absl::Duration step = absl::Milliseconds(10);
    std::vector<prompt_quarantine> nodes;
    for (int i = 0; i < node_count; ++i)
        nodes.emplace_back(prompt_quarantine::options{.self = node_id(absl::StrCat("n", i))});
    nodes.front().on_crash("e0", deadly_prompt, start);
    int trials = 0;
    for (int i = 1; i < 1000; ++i) {
        const absl::Time now = start + i * step;
        for (prompt_quarantine& node : nodes)
            if (!node.refusal(deadly_prompt, now) && node.on_sending(deadly_prompt, now))
                node.on_crash(absl::StrCat("e", ++trials), deadly_prompt, now);
        if (i % beacon_delay_steps == 0)
            for (prompt_quarantine& node : nodes)
                for (const prompt_quarantine& peer : nodes)
                    node.on_peer_suspicions(peer.suspicions(now), now);
    }
    EXPECT_LE(trials, 6);
    for (const prompt_quarantine& node : nodes)
        EXPECT_TRUE(is_blocked(node, deadly_prompt));
}

// Guards against beacons that exceed a datagram during many crashes, and against leaving out the
// blocked parts then.
TEST(prompt_quarantine, reports_a_bounded_number_of_parts_with_the_blocked_ones_first)
{
    prompt_quarantine quarantine;
    crash_repeatedly(quarantine, 3);
    for (int i = 0; i < 100; ++i)
        quarantine.on_crash("e9", {{absl::StrCat("p", i), 5}, {"own", 5}}, at(4));
    const auto reported = quarantine.suspicions(at(4));
    EXPECT_EQ(reported.size(), 16U);
    EXPECT_EQ(reported.front().part, "deadly");
}

// Guards against beacons that exceed a datagram after many endpoints crashed with one part.
TEST(prompt_quarantine, reports_the_latest_crashes_of_a_part)
{
    prompt_quarantine quarantine;
    for (int i = 0; i < 1800; ++i)
        quarantine.on_crash(absl::StrCat("e", i), deadly_prompt, start + i * absl::Milliseconds(1));
    const auto reported = quarantine.suspicions(at(2));
    ASSERT_EQ(reported.size(), 2U);
    EXPECT_EQ(reported.front().crashes.size(), 8U);
    EXPECT_EQ(reported.front().crashes.count("e1799"), 1U);
}

// Guards against beacons that exceed a datagram because a caller sent very long part names.
TEST(prompt_quarantine, ignores_parts_with_very_long_names)
{
    prompt_quarantine quarantine;
    quarantine.on_crash("e1", {{std::string(5000, 'a'), 5}, {"own", 5}}, start);
    EXPECT_TRUE(quarantine.suspicions(start).empty());
}

// Guards against taking resets of single connections, or an unreachable host, for a crash.
TEST(crash_tracker, reports_a_crash_only_if_connections_are_refused)
{
    prompt_quarantine quarantine;
    crash_tracker tracker(quarantine);
    const endpoint_choice endpoint{.id = endpoint_id("e1")};
    for (const probe_result result : {probe_result::connected, probe_result::unknown}) {
        EXPECT_TRUE(tracker.on_request_lost(endpoint, deadly_prompt));
        EXPECT_FALSE(tracker.on_request_lost(endpoint, sound_prompt));
        EXPECT_EQ(tracker.on_probed(endpoint.id, result, start), 0U);
        EXPECT_FALSE(quarantine.is_suspect(deadly_prompt));
    }
    EXPECT_TRUE(tracker.on_request_lost(endpoint, deadly_prompt));
    EXPECT_EQ(tracker.on_probed(endpoint.id, probe_result::refused, start), 1U);
    EXPECT_TRUE(quarantine.is_suspect(deadly_prompt));
}

} // namespace
} // namespace chivedeal::forward
