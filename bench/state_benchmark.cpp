#include "bench/state_benchmark.hpp"

#include "bench/report.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/state/record_codec.hpp"
#include "chivedeal/state/signature.hpp"
#include "chivedeal/state/snapshot_codec.hpp"
#include "chivedeal/state/state_machine.hpp"
#include "chivedeal/state/stream_name.hpp"

#include "absl/strings/str_cat.h"

#include <malloc.h>

#include <cstdint>
#include <string>
#include <vector>

namespace chivedeal::bench {

namespace {

using namespace state; // NOLINT(google-build-using-namespace)

constexpr int record_count = 100'000;
// Number of workspaces that are changed; exceeds the number of services on 1,800 servers.
constexpr int declaration_count = 1'000;
// Batch size of the log reader.
constexpr int batch_records = 1'000;

const team_id team("t");
const std::string team_key = "benchmark key";

state_machine make_machine() { return state_machine({.team_keys = {{team, team_key}}}); }

record make_change(int number, std::uint64_t expected_version)
{
    declaration_change change{.team = team,
                              .path =
                                  absl::StrCat("/teams/t/workspaces/w", number % declaration_count),
                              .expected_version = expected_version,
                              .body = absl::StrCat(R"({"rate": 20, "burst": 40, "priority": )",
                                                   number % 10, R"(, "concurrency": 100})"),
                              .signature = {}};
    const change_id id(absl::StrCat("change-", number));
    change.signature = sign_change(change, id, team_key);
    return {.change = id, .body = std::move(change)};
}

// Half of the records are signed changes that all take effect, half are renewals of 16 leases.
std::vector<std::string> make_log(int records)
{
    std::vector<std::string> log;
    std::vector<std::uint64_t> versions(declaration_count, 0);
    std::vector<std::uint64_t> renewals(16, 0);
    for (int i = 0; i < records; ++i) {
        const auto offset = static_cast<std::uint64_t>(i) + 1;
        if (i % 2 == 0) {
            std::uint64_t& version = versions[static_cast<std::size_t>(i / 2 % declaration_count)];
            log.push_back(encode_record(make_change(i / 2, version)));
            version = offset;
            continue;
        }
        const int scope = i / 2 % 16;
        std::uint64_t& renewal = renewals[static_cast<std::size_t>(scope)];
        log.push_back(encode_record({change_id(absl::StrCat("lease-", i)),
                                     lease_grant{absl::StrCat("moves-", scope), node_id("n1"),
                                                 absl::Seconds(15), renewal}}));
        renewal = offset;
    }
    return log;
}

// Returns the number of records that took effect, to detect a log of rejected records.
int replay(state_machine& machine, const std::vector<std::string>& log, bool publish)
{
    int effective = 0;
    std::uint64_t offset = 0;
    for (const std::string& data : log) {
        const auto decoded = decode_record(data);
        const auto effect = machine.apply(control_stream, get_value(decoded), ++offset);
        effective += effect && effect->code == result_code::ok ? 1 : 0;
        if (publish && offset % batch_records == 0)
            (void)machine.publish();
    }
    return effective;
}

void measure_replay(report& out, state_machine& machine)
{
    const system_clock clock;
    const auto log = make_log(record_count);
    const absl::Time start = clock.now();
    const int effective = replay(machine, log, true);
    out.add("state", "replay_100000_records", "decode_verify_apply",
            absl::ToDoubleMilliseconds(clock.now() - start), "ms");
    out.add("state", "replay_records_effective", "decode_verify_apply", effective, "records");

    std::vector<record> decoded;
    for (const std::string& data : log)
        decoded.push_back(get_value(decode_record(data)));
    state_machine second = make_machine();
    const absl::Time apply_start = clock.now();
    std::uint64_t offset = 0;
    for (const record& entry : decoded)
        (void)second.apply(control_stream, entry, ++offset);
    out.add("state", "replay_100000_records", "apply_only",
            absl::ToDoubleMilliseconds(clock.now() - apply_start), "ms");
}

void measure_snapshot(report& out, state_machine& machine)
{
    const system_clock clock;
    absl::Time start = clock.now();
    const std::string data = encode_snapshot(machine.export_snapshot());
    out.add("state", "snapshot_encode", "1000_declarations",
            absl::ToDoubleMilliseconds(clock.now() - start), "ms");
    out.add("state", "snapshot_size", "1000_declarations", static_cast<double>(data.size()),
            "bytes");
    state_machine fresh = make_machine();
    start = clock.now();
    const bool adopted = fresh.adopt(get_value(decode_snapshot(data)));
    out.add("state", "snapshot_decode_and_adopt", "1000_declarations",
            adopted ? absl::ToDoubleMilliseconds(clock.now() - start) : -1, "ms");
}

void measure_memory(report& out)
{
    state_machine machine = make_machine();
    const std::size_t before = mallinfo2().uordblks;
    for (int i = 0; i < declaration_count; ++i)
        (void)machine.apply(control_stream, make_change(i, 0), static_cast<std::uint64_t>(i) + 1);
    const std::size_t after = mallinfo2().uordblks;
    out.add("state", "memory_per_declaration", "workspace",
            static_cast<double>(after - before) / declaration_count, "bytes");
    const auto published = machine.publish();
    out.add("state", "memory_per_published_entry", "workspace",
            static_cast<double>(mallinfo2().uordblks - after) / declaration_count, "bytes");
}

} // namespace

void state_benchmark::run(report& out)
{
    state_machine machine = make_machine();
    measure_replay(out, machine);
    measure_snapshot(out, machine);
    measure_memory(out);
}

} // namespace chivedeal::bench
