#include "chivedeal/state/snapshot_assembler.hpp"
#include "chivedeal/state/snapshot_chunks.hpp"
#include "chivedeal/state/snapshot_codec.hpp"
#include "test/state_random_log.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdio>
#include <random>

using namespace chivedeal;        // NOLINT(google-build-using-namespace)
using namespace chivedeal::state; // NOLINT(google-build-using-namespace)

namespace {

// Snapshot of a state machine that applied a random log, reassembled from its chunks.
std::string example_snapshot(std::uint64_t seed = 7)
{
    state_machine machine(small_windows());
    for (const log_item& item : random_log(seed).make(200))
        (void)machine.apply(item.stream, item.entry, item.offset);
    return encode_snapshot(machine.export_snapshot());
}

std::optional<std::string> assemble(snapshot_assembler& assembler,
                                    const std::vector<record>& chunks)
{
    std::optional<std::string> complete;
    for (const record& chunk : chunks)
        if (auto data = assembler.add(chunk.change, std::get<snapshot_chunk>(chunk.body)))
            complete = std::move(data);
    return complete;
}

} // namespace

// Guards against a node that diverges from its peers after starting from a snapshot: later records
// must have the same effects and lead to the same state as a full replay.
RC_GTEST_PROP(snapshot, with_later_records_equals_full_replay, (std::uint64_t seed))
{
    const auto items = random_log(seed).make(160);
    const auto cut = *rc::gen::inRange<std::size_t>(0, items.size());
    state_machine full(small_windows());
    for (std::size_t i = 0; i < cut; ++i)
        (void)full.apply(items[i].stream, items[i].entry, items[i].offset);
    const std::string data = encode_snapshot(full.export_snapshot());
    const auto decoded = decode_snapshot(data);
    RC_ASSERT(is_ok(decoded));
    state_machine restarted(small_windows());
    RC_ASSERT(restarted.adopt(get_value(decoded)) == (full.applied_offset(control_stream) > 0));
    RC_PRE(full.applied_offset(control_stream) > 0);
    RC_ASSERT(same_machine(full, restarted));
    for (std::size_t i = cut; i < items.size(); ++i)
        RC_ASSERT(full.apply(items[i].stream, items[i].entry, items[i].offset) ==
                  restarted.apply(items[i].stream, items[i].entry, items[i].offset));
    RC_ASSERT(same_machine(full, restarted));
    RC_ASSERT(encode_snapshot(full.export_snapshot()) ==
              encode_snapshot(restarted.export_snapshot()));
}

// Guards against state rollback: a snapshot at or below the applied offset must have no effect.
RC_GTEST_PROP(snapshot, is_ignored_at_or_below_applied_offset, (std::uint64_t seed))
{
    const auto items = random_log(seed).make(80);
    state_machine machine(small_windows());
    std::vector<snapshot_data> older;
    for (const log_item& item : items) {
        older.push_back(machine.export_snapshot());
        (void)machine.apply(item.stream, item.entry, item.offset);
    }
    const std::string before = encode_snapshot(machine.export_snapshot());
    for (const snapshot_data& data : older)
        RC_ASSERT(!machine.adopt(data));
    RC_ASSERT(encode_snapshot(machine.export_snapshot()) == before);
}

// Guards against chunks that are lost, duplicated or mixed with those of another writer.
RC_GTEST_PROP(snapshot, reassembles_from_shuffled_and_repeated_chunks, (std::uint64_t seed))
{
    const std::string data = example_snapshot();
    auto chunks = make_snapshot_chunks(data, 5, 100);
    const auto other = make_snapshot_chunks(example_snapshot(8), 5, 100);
    const auto own = chunks;
    chunks.insert(chunks.end(), other.begin(), other.end() - 1);
    chunks.insert(chunks.end(), own.begin(), own.begin() + 3);
    std::mt19937_64 random(seed);
    std::shuffle(chunks.begin(), chunks.end(), random);
    snapshot_assembler assembler;
    RC_ASSERT(assemble(assembler, chunks) == data);
}

// Guards against accepting an incomplete or altered snapshot.
TEST(snapshot, rejects_incomplete_and_altered_chunks)
{
    const auto chunks = make_snapshot_chunks(example_snapshot(), 5, 100);
    snapshot_assembler assembler;
    EXPECT_EQ(assemble(assembler, {chunks.begin(), chunks.end() - 1}), std::nullopt);
    auto altered = chunks;
    std::get<snapshot_chunk>(altered[2].body).data[4] ^= 1;
    snapshot_assembler second;
    EXPECT_EQ(assemble(second, altered), std::nullopt);
    snapshot_chunk huge{.covered_offset = 1, .index = 0, .count = 2'000'000'000, .data = "x"};
    EXPECT_EQ(second.add(change_id("snapshot-x/0"), huge), std::nullopt);
}

// Guards against an exception or a crash when decoding a corrupted snapshot.
TEST(snapshot, survives_random_input)
{
    std::mt19937_64 random(20261204);
    const std::string valid = example_snapshot();
    long tried = 0;
    long decoded = 0;
    for (int round = 0; round < 3'000; ++round) {
        std::string data = valid;
        for (std::uint64_t flips = 1 + random() % 3; flips > 0; --flips)
            data[random() % data.size()] = static_cast<char>(random());
        const std::string cut = valid.substr(0, random() % valid.size());
        for (const std::string& input : {data, cut}) {
            ++tried;
            const auto found = decode_snapshot(input);
            if (is_ok(found))
                ++decoded;
            else
                EXPECT_EQ(get_error(found).code, result_code::snapshot_invalid);
        }
    }
    std::printf("snapshot: %ld inputs tried, %ld decoded\n", tried, decoded);
}
