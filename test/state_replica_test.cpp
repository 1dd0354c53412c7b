#include "chivedeal/state/state_replica.hpp"

#include "chivedeal/state/record_codec.hpp"
#include "chivedeal/state/snapshot_chunks.hpp"
#include "chivedeal/state/snapshot_codec.hpp"
#include "test/state_random_log.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chivedeal;        // NOLINT(google-build-using-namespace)
using namespace chivedeal::state; // NOLINT(google-build-using-namespace)

namespace {

// Returns log entries with contiguous offsets, as the platform stores them.
std::vector<log_entry> control_log(std::uint64_t seed, int count)
{
    std::vector<log_entry> entries;
    for (const log_item& item : random_log(seed).make(count))
        if (item.stream == control_stream)
            entries.push_back({entries.size() + 1, encode_record(item.entry)});
    return entries;
}

log_batch batch_of(const std::vector<log_entry>& log, std::size_t begin, std::size_t end,
                   std::uint64_t first = 1)
{
    return {.stream = control_stream,
            .first = first,
            .next = log.size() + 1,
            .entries = {log.begin() + static_cast<std::ptrdiff_t>(begin),
                        log.begin() + static_cast<std::ptrdiff_t>(end)}};
}

std::string snapshot_of(state_replica& replica)
{
    return encode_snapshot(replica.machine().export_snapshot());
}

} // namespace

// Guards against a new node that never becomes ready or ends in a different state when the log has
// truncated its first records: it must wait for a snapshot in the log and apply the tail after it.
RC_GTEST_PROP(state_replica, starts_from_a_snapshot_in_the_log, (std::uint64_t seed))
{
    auto log = control_log(seed, 60);
    RC_PRE(log.size() > 10U);
    const auto covered = *rc::gen::inRange<std::size_t>(3, log.size());
    state_replica old(small_windows());
    (void)old.apply_batch(batch_of(log, 0, covered));
    for (const record& chunk : make_snapshot_chunks(snapshot_of(old), covered, 300))
        log.push_back({log.size() + 1, encode_record(chunk)});
    (void)old.apply_batch(batch_of(log, covered, log.size()));
    const auto first = *rc::gen::inRange<std::size_t>(1, covered + 1);
    state_replica fresh(small_windows());
    for (std::size_t at = first; at < log.size(); at += 7) {
        RC_ASSERT(!fresh.ready());
        (void)fresh.apply_batch(batch_of(log, at, std::min(at + 7, log.size()), first + 1));
    }
    RC_ASSERT(fresh.ready());
    RC_ASSERT(snapshot_of(fresh) == snapshot_of(old));
}

// Guards against records that are lost when the buffer overflows, or that are applied after a gap.
TEST(state_replica, rereads_the_log_after_its_buffer_overflows)
{
    auto log = control_log(3, 60);
    const std::uint64_t covered = 8;
    state_replica old(small_windows());
    (void)old.apply_batch(batch_of(log, 0, covered));
    for (const record& chunk : make_snapshot_chunks(snapshot_of(old), covered))
        log.push_back({log.size() + 1, encode_record(chunk)});
    (void)old.apply_batch(batch_of(log, covered, log.size()));
    state_replica fresh(small_windows(), 4);
    const replica_update update = fresh.apply_batch(batch_of(log, 5, log.size(), 6));
    EXPECT_EQ(update.reread_control_from, covered + 1);
    EXPECT_FALSE(fresh.ready());
    (void)fresh.apply_batch(batch_of(log, covered, log.size(), 6));
    EXPECT_TRUE(fresh.ready());
    EXPECT_EQ(snapshot_of(fresh), snapshot_of(old));
}

// Guards against a gap in the offsets that is skipped after a restart of the keeper.
TEST(state_replica, requests_the_records_missing_in_a_gap)
{
    const auto log = control_log(3, 40);
    state_replica replica(small_windows());
    (void)replica.apply_batch(batch_of(log, 0, 3));
    const replica_update update = replica.apply_batch(batch_of(log, 5, 8));
    EXPECT_EQ(update.reread_control_from, 4U);
    EXPECT_EQ(replica.machine().applied_offset(control_stream), 3U);
    (void)replica.apply_peer_records({log[4]});
    EXPECT_EQ(replica.machine().applied_offset(control_stream), 3U);
    (void)replica.apply_peer_records({log[2], log[3], log[4]});
    EXPECT_EQ(replica.machine().applied_offset(control_stream), 5U);
}

// Guards against an undecodable record that stops the replay or shifts the offsets.
TEST(state_replica, skips_undecodable_records)
{
    state_replica replica(small_windows());
    const replica_update update = replica.apply_batch(
        {.stream = control_stream, .first = 1, .next = 3, .entries = {{1, "{"}, {2, "\xff"}}});
    EXPECT_EQ(update.undecodable_offsets, (std::vector<std::uint64_t>{1, 2}));
    EXPECT_TRUE(replica.ready());
    EXPECT_EQ(replica.machine().applied_offset(control_stream), 2U);
}

// Guards against claims that are applied before a snapshot with earlier claims of the same keys.
TEST(state_replica, buffers_claims_until_a_snapshot_is_applied)
{
    state_replica old(small_windows());
    (void)old.apply_batch({.stream = control_stream, .first = 1, .next = 2, .entries = {{1, "{"}}});
    const auto claim_entry_of = [](const char* id, const char* node) {
        return encode_record({change_id(id), claim{"k", node_id(node), 1}});
    };
    (void)old.apply_batch({.stream = claims_stream,
                           .first = 1,
                           .next = 2,
                           .entries = {{1, claim_entry_of("a", "n1")}}});
    state_replica fresh(small_windows());
    (void)fresh.apply_batch({.stream = claims_stream,
                             .first = 2,
                             .next = 3,
                             .entries = {{2, claim_entry_of("b", "n2")}}});
    const auto update = fresh.apply_snapshot(snapshot_of(old));
    ASSERT_TRUE(is_ok(update));
    ASSERT_EQ(get_value(update).applied.size(), 1U);
    EXPECT_EQ(get_value(update).applied[0].effect.code, result_code::claim_lost);
}
