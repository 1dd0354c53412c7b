#include "chivedeal/state/state_machine.hpp"

#include "chivedeal/state/record_codec.hpp"
#include "chivedeal/state/stream_name.hpp"
#include "test/state_random_log.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chivedeal;        // NOLINT(google-build-using-namespace)
using namespace chivedeal::state; // NOLINT(google-build-using-namespace)

namespace {

const char* const service_path = "/teams/t/services/s";
const char* const service_body = R"({"kind": "engine"})";
const char* const move_body = R"({"version": "v2", "deadline": "2026-12-04T10:00:00Z"})";

// Wraps a state machine; assigns each record the next offset and a unique change ID.
class machine_under_test
{
public:
    result_code apply(record_body body)
    {
        return apply({.change = change_id("c" + std::to_string(++m_changes)), .body = body});
    }

    result_code apply(const record& entry)
    {
        const auto effect = machine.apply(stream_of(entry.body), entry, ++offset);
        return effect ? effect->code : result_code::cancelled;
    }

    result_code declare(const std::string& path, std::optional<std::string> body,
                        std::uint64_t expected = 0)
    {
        return apply(
            signed_change("d" + std::to_string(++m_changes), "t", path, expected, std::move(body)));
    }

    // Declares a service with the versions v1 (current) and v2, an open move to v2 and its lease.
    void open_move()
    {
        EXPECT_EQ(declare(service_path, service_body), result_code::ok);
        EXPECT_EQ(declare("/teams/t/versions/s/v1", "{}"), result_code::ok);
        EXPECT_EQ(declare("/teams/t/versions/s/v2", "{}"), result_code::ok);
        v2_offset = offset;
        EXPECT_EQ(declare("/teams/t/moves/s", move_body), result_code::ok);
        EXPECT_EQ(apply(lease_grant{"moves", node_id("n1"), absl::Seconds(15), 0}),
                  result_code::ok);
        fence = offset;
    }

    result_code step(double share)
    {
        return apply(move_step{service_id("s"), version_id("v2"), share, "moves", fence});
    }

    const version_move& move() { return *machine.publish()->moves.at(service_id("s")); }

    state_machine machine{{.team_keys = {{team_id("t"), "key"}, {team_id("u"), "other"}}}};
    std::uint64_t offset = 0;
    std::uint64_t v2_offset = 0;
    std::uint64_t fence = 0;

private:
    int m_changes = 0;
};

} // namespace

// Guards against a stale write that overwrites a newer one.
TEST(state_machine, rejects_a_change_with_an_old_expected_version)
{
    machine_under_test m;
    EXPECT_EQ(m.declare(service_path, service_body), result_code::ok);
    const std::uint64_t version = m.offset;
    EXPECT_EQ(m.declare(service_path, service_body), result_code::conflict);
    EXPECT_EQ(m.declare(service_path, service_body, version), result_code::ok);
    EXPECT_EQ(m.declare(service_path, std::nullopt, version), result_code::conflict);
    EXPECT_EQ(m.declare(service_path, std::nullopt,
                        m.machine.publish()->declarations.at(service_path)->version),
              result_code::ok);
    EXPECT_TRUE(m.machine.publish()->services.empty());
}

// Guards against a team that changes another team's declarations or reuses its names.
TEST(state_machine, rejects_changes_to_the_declarations_of_another_team)
{
    machine_under_test m;
    EXPECT_EQ(m.apply(signed_change("a", "u", service_path, 0, service_body, "other")),
              result_code::wrong_team);
    EXPECT_EQ(m.apply(signed_change("b", "t", service_path, 0, service_body, "other")),
              result_code::bad_signature);
    EXPECT_EQ(m.apply(signed_change("c", "x", "/teams/x/services/s", 0, service_body)),
              result_code::bad_signature);
    EXPECT_EQ(m.declare(service_path, service_body), result_code::ok);
    EXPECT_EQ(m.apply(signed_change("d", "u", "/teams/u/services/s", 0, service_body, "other")),
              result_code::wrong_team);
    EXPECT_EQ(m.apply(signed_change("e", "u", "/teams/u/versions/s/v", 0, "{}", "other")),
              result_code::wrong_team);
}

// Guards against a repeated append that takes effect twice, and against records applied out of
// order.
TEST(state_machine, ignores_repeated_change_ids_and_old_offsets)
{
    machine_under_test m;
    const record entry = signed_change("a", "t", service_path, 0, service_body);
    EXPECT_EQ(m.apply(entry), result_code::ok);
    EXPECT_EQ(m.machine.apply(control_stream, entry, m.offset + 1), std::nullopt);
    const record late{change_id("late"), version_verdict{}};
    EXPECT_EQ(m.machine.apply(control_stream, late, m.offset), std::nullopt);
    EXPECT_EQ(m.machine.applied_offset(control_stream), m.offset + 1);
}

// Guards against two holders of one lease and against a fencing token that changes on renewal.
TEST(state_machine, grants_a_lease_to_one_holder)
{
    machine_under_test m;
    const auto grant = [&](const char* holder, std::uint64_t previous) {
        return m.apply(lease_grant{"moves", node_id(holder), absl::Seconds(15), previous});
    };
    EXPECT_EQ(grant("n1", 0), result_code::ok);
    EXPECT_EQ(grant("n2", 0), result_code::conflict);
    EXPECT_EQ(grant("n1", 1), result_code::ok);
    EXPECT_EQ(grant("n2", 1), result_code::conflict) << "n1 has renewed the lease";
    const auto renewed = m.machine.publish()->leases.at("moves");
    EXPECT_EQ(renewed->fence, 1U);
    EXPECT_EQ(renewed->renewal, 3U);
    EXPECT_EQ(grant("n2", 3), result_code::ok);
    EXPECT_EQ(m.machine.publish()->leases.at("moves")->fence, m.offset);
}

// Guards against a planned stop after which the node's leases can be taken only when they expire.
TEST(state_machine, treats_a_zero_term_as_a_release)
{
    machine_under_test m;
    EXPECT_EQ(m.apply(lease_grant{"moves", node_id("n1"), absl::Seconds(15), 0}), result_code::ok);
    const record release{.change = change_id("release"),
                         .body = lease_grant{"moves", node_id("n1"), absl::ZeroDuration(), 1}};
    const auto decoded = decode_record(encode_record(release));
    ASSERT_TRUE(is_ok(decoded));
    EXPECT_EQ(get_value(decoded), release);
    EXPECT_EQ(m.apply(std::get<lease_grant>(release.body)), result_code::ok);
    EXPECT_EQ(m.machine.publish()->leases.at("moves")->term, absl::ZeroDuration());
    EXPECT_EQ(m.apply(lease_grant{"moves", node_id("n2"), absl::Seconds(-1), 2}),
              result_code::malformed_message);
}

// Guards against move steps by a former lease holder and against shares outside 0 to 1.
TEST(state_machine, rejects_steps_with_a_stale_fence)
{
    machine_under_test m;
    m.open_move();
    EXPECT_EQ(m.step(0.05), result_code::ok);
    EXPECT_EQ(m.move().share, 0.05);
    EXPECT_EQ(m.move().from, version_id("v1"));
    EXPECT_EQ(m.step(1.5), result_code::malformed_message);
    const std::uint64_t renewal = m.machine.publish()->leases.at("moves")->renewal;
    EXPECT_EQ(m.apply(lease_grant{"moves", node_id("n2"), absl::Seconds(15), renewal}),
              result_code::ok);
    EXPECT_EQ(m.step(0.5), result_code::stale_fence);
    EXPECT_EQ(m.move().share, 0.05);
}

// Guards against a bad version that gains traffic, and against a verdict that still applies after
// the version is declared again.
TEST(state_machine, never_raises_the_share_of_a_bad_version)
{
    machine_under_test m;
    m.open_move();
    EXPECT_EQ(m.step(0.3), result_code::ok);
    EXPECT_EQ(m.apply(version_verdict{service_id("s"), version_id("v2"), m.v2_offset, "errors"}),
              result_code::ok);
    EXPECT_EQ(m.step(0.4), result_code::conflict);
    EXPECT_EQ(m.step(0.1), result_code::ok);
    EXPECT_EQ(m.apply(move_outcome{service_id("s"), version_id("v2"), true, ""}),
              result_code::conflict);
    EXPECT_EQ(m.apply(move_outcome{service_id("s"), version_id("v2"), false, "errors"}),
              result_code::ok);
    EXPECT_EQ(m.move().status, move_status::rolled_back);
    EXPECT_EQ(m.step(0), result_code::move_not_open);
    const std::uint64_t declared = m.move().declared_offset;
    EXPECT_EQ(m.declare("/teams/t/moves/s", move_body, declared), result_code::conflict);
    EXPECT_EQ(m.declare("/teams/t/versions/s/v2", "{}", m.v2_offset), result_code::ok);
    EXPECT_EQ(m.declare("/teams/t/moves/s", move_body, declared), result_code::ok);
    EXPECT_EQ(m.step(0.4), result_code::ok);
}

// Guards against a withdrawn move that continues, or that disappears so that clients waiting for it
// never see its outcome.
TEST(state_machine, rolls_back_a_withdrawn_move)
{
    machine_under_test m;
    m.open_move();
    EXPECT_EQ(m.step(0.3), result_code::ok);
    EXPECT_EQ(m.declare("/teams/t/moves/s", std::nullopt, m.move().declared_offset),
              result_code::ok);
    EXPECT_EQ(m.move().status, move_status::rolled_back);
    EXPECT_EQ(m.move().share, 0);
    EXPECT_EQ(m.step(0.4), result_code::move_not_open);
}

// Guards against a step or an outcome of an earlier move that the log executes late and that acts on
// a later move to the same version.
TEST(state_machine, ignores_late_records_of_an_earlier_move)
{
    machine_under_test m;
    m.open_move();
    const version_move earlier = m.move();
    const std::uint64_t lease = m.machine.publish()->leases.at("moves")->fence;
    EXPECT_EQ(m.declare("/teams/t/moves/s", std::nullopt, earlier.declared_offset),
              result_code::ok);
    EXPECT_EQ(m.declare("/teams/t/moves/s", move_body, 0), result_code::ok);
    ASSERT_EQ(m.move().to, earlier.to);
    ASSERT_NE(m.move().declared_offset, earlier.declared_offset);
    EXPECT_EQ(m.apply(move_step{.service = earlier.service,
                                .version = earlier.to,
                                .share = 0.5,
                                .scope = "moves",
                                .lease_offset = lease,
                                .move_offset = earlier.declared_offset}),
              result_code::move_not_open);
    EXPECT_EQ(m.apply(move_outcome{.service = earlier.service,
                                   .version = earlier.to,
                                   .done = true,
                                   .move_offset = earlier.declared_offset}),
              result_code::move_not_open);
    EXPECT_EQ(m.move().status, move_status::open);
    EXPECT_EQ(m.move().share, 0);
}

// Guards against a service without a version that serves its traffic, during and after a move.
TEST(state_machine, makes_the_version_of_a_done_move_current)
{
    machine_under_test m;
    m.open_move();
    const auto current = [&] { return m.machine.publish()->current_versions.at(service_id("s")); };
    EXPECT_EQ(current(), version_id("v1"));
    EXPECT_EQ(m.declare("/teams/t/versions/s/v1", std::nullopt, 2), result_code::conflict);
    EXPECT_EQ(m.apply(move_outcome{service_id("s"), version_id("v2"), true, ""}), result_code::ok);
    EXPECT_EQ(current(), version_id("v2"));
    EXPECT_EQ(m.declare("/teams/t/versions/s/v2", std::nullopt, m.v2_offset),
              result_code::conflict);
    EXPECT_EQ(m.declare("/teams/t/versions/s/v1", std::nullopt, 2), result_code::ok);
    EXPECT_EQ(m.declare(service_path, std::nullopt, 1), result_code::conflict);
}

// Guards against a verdict on a declaration that does not exist yet.
TEST(state_machine, rejects_a_verdict_on_a_later_declaration)
{
    machine_under_test m;
    m.open_move();
    EXPECT_EQ(m.apply(version_verdict{service_id("s"), version_id("v2"), m.offset + 5, "errors"}),
              result_code::malformed_message);
    EXPECT_TRUE(m.machine.publish()->bad_versions.empty());
}

// Guards against two nodes running the same request: the first claim wins, and a release applies
// only to an open claim held by the same node and attempt.
TEST(state_machine, grants_a_key_to_the_first_claim)
{
    machine_under_test m;
    const node_id n1("n1");
    const node_id n2("n2");
    EXPECT_EQ(m.apply(claim{"k", n1, 1}), result_code::ok);
    EXPECT_EQ(m.apply(claim{"k", n2, 1}), result_code::claim_lost);
    EXPECT_EQ(m.apply(claim_release{"k", n2, 1}), result_code::conflict);
    EXPECT_EQ(m.apply(claim_release{"k", n1, 2}), result_code::conflict);
    EXPECT_EQ(m.apply(claim_release{"k", n1, 1}), result_code::ok);
    EXPECT_EQ(m.apply(claim{"k", n2, 1}), result_code::ok);
    EXPECT_EQ(m.apply(claim_result{"k", n1, "answered", "x"}), result_code::conflict);
    EXPECT_EQ(m.apply(claim_result{"k", n2, "answered", "x"}), result_code::ok);
    EXPECT_EQ(m.apply(claim_release{"k", n2, 1}), result_code::conflict);
    EXPECT_EQ(m.apply(claim{"k", n1, 2}), result_code::claim_lost);
    EXPECT_EQ(m.machine.claims().find("k")->body, "x");
}

// Guards against unbounded memory: keys expire after the window, and the oldest bodies are dropped
// above the size limit.
TEST(state_machine, expires_claims_after_their_window)
{
    state_machine machine(small_windows());
    std::uint64_t offset = 0;
    const auto apply = [&](record_body body) {
        const std::uint64_t at = ++offset;
        return machine.apply(claims_stream, {change_id(std::to_string(at)), std::move(body)}, at)
            ->code;
    };
    EXPECT_EQ(apply(claim{"a", node_id("n"), 1}), result_code::ok);
    EXPECT_EQ(apply(claim_result{"a", node_id("n"), "answered", std::string(15, 'a')}),
              result_code::ok);
    EXPECT_EQ(apply(claim{"b", node_id("n"), 1}), result_code::ok);
    EXPECT_EQ(apply(claim_result{"b", node_id("n"), "answered", std::string(15, 'b')}),
              result_code::ok);
    EXPECT_EQ(machine.claims().find("a")->outcome, "unknown");
    EXPECT_EQ(machine.claims().find("b")->outcome, "answered");
    while (offset < 11)
        EXPECT_EQ(apply(claim{"a", node_id("m"), 1}), result_code::claim_lost);
    EXPECT_EQ(apply(claim{"c", node_id("m"), 1}), result_code::ok);
    EXPECT_EQ(apply(claim{"a", node_id("m"), 1}), result_code::ok);
}

// Guards against effects that depend on how often records arrive or how they are batched.
RC_GTEST_PROP(state_machine, ignores_repeated_records, (std::uint64_t seed))
{
    state_machine once(small_windows());
    state_machine repeated(small_windows());
    for (const log_item& item : random_log(seed).make(120)) {
        const auto effect = once.apply(item.stream, item.entry, item.offset);
        RC_ASSERT(repeated.apply(item.stream, item.entry, item.offset) == effect);
        RC_ASSERT(repeated.apply(item.stream, item.entry, item.offset) == std::nullopt);
        if (seed % 3 == 0)
            (void)repeated.publish();
    }
    RC_ASSERT(same_machine(once, repeated));
}

// Guards against a published state that later records modify while others read it.
TEST(state_machine, keeps_published_states_unchanged)
{
    machine_under_test m;
    EXPECT_EQ(m.declare(service_path, service_body), result_code::ok);
    const auto before = m.machine.publish();
    EXPECT_EQ(m.machine.publish(), before) << "the state is copied only if it has changed";
    EXPECT_EQ(m.declare(service_path, std::nullopt, 1), result_code::ok);
    EXPECT_EQ(before->services.size(), 1U);
    EXPECT_TRUE(m.machine.publish()->services.empty());
}
