#include "chivedeal/state/record_codec.hpp"

#include "chivedeal/state/record.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdio>
#include <random>
#include <string>
#include <vector>

using namespace chivedeal;        // NOLINT(google-build-using-namespace)
using namespace chivedeal::state; // NOLINT(google-build-using-namespace)

namespace {

// Returns one record of each type; `text` may contain arbitrary bytes.
std::vector<record_body> all_bodies(const std::string& text, std::uint64_t number)
{
    const int small = static_cast<int>(number % 1000);
    const double share = static_cast<double>(number % 1001) / 1000;
    return {
        declaration_change{team_id(text), text, number, text, text},
        declaration_change{team_id(text), text, number, std::nullopt, text},
        lease_grant{text, node_id(text), absl::Milliseconds(small), number},
        move_step{service_id(text), version_id(text), share, text, number, number},
        move_outcome{service_id(text), version_id(text), number % 2 == 0, text, number},
        version_verdict{service_id(text), version_id(text), number, text},
        claim{text, node_id(text), small},
        claim_release{text, node_id(text), small},
        claim_result{text, node_id(text), text, text},
        snapshot_chunk{number, small, small, text},
    };
}

} // namespace

// Guards against fields with arbitrary bytes that are lost or changed by encoding and decoding.
RC_GTEST_PROP(record_codec, round_trip, (const std::string& text, std::uint64_t number))
{
    for (const record_body& body : all_bodies(text, number)) {
        const record original{.change = change_id("c" + text), .body = body};
        const auto decoded = decode_record(encode_record(original));
        RC_ASSERT(is_ok(decoded));
        RC_ASSERT(get_value(decoded) == original);
    }
}

// Guards against accepting a record without a change ID, which can't be applied idempotently.
TEST(record_codec, rejects_record_without_change_id)
{
    EXPECT_FALSE(is_ok(decode_record(R"({"type":"claim","key":"k","node":"n","attempt":1})")));
    EXPECT_FALSE(
        is_ok(decode_record(R"({"id":"","type":"claim","key":"k","node":"n","attempt":1})")));
}

// Guards against an exception or a crash on bytes that no node of this version wrote: random
// bytes, truncated records and corrupted records.
TEST(record_codec, survives_random_input)
{
    std::mt19937_64 random(20261204);
    const auto bodies = all_bodies("catalogue \xc3\xa4", 7);
    long tried = 0;
    long decoded = 0;
    const auto try_input = [&](const std::string& data) {
        ++tried;
        const auto found = decode_record(data);
        if (is_ok(found))
            ++decoded;
        else
            EXPECT_EQ(get_error(found).code, result_code::malformed_message);
    };
    for (int round = 0; round < 20'000; ++round) {
        std::string data(random() % 64, '\0');
        for (char& byte : data)
            byte = static_cast<char>(random());
        try_input(data);
        std::string valid = encode_record({change_id("c"), bodies[random() % bodies.size()]});
        try_input(valid.substr(0, random() % valid.size()));
        for (std::uint64_t flips = 1 + random() % 4; flips > 0; --flips)
            valid[random() % valid.size()] = static_cast<char>(random());
        try_input(valid);
    }
    try_input(std::string(100'000, '['));
    std::printf("record_codec: %ld inputs tried, %ld decoded\n", tried, decoded);
}
