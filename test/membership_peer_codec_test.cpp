#include "chivedeal/membership/peer_codec.hpp"

#include "chivedeal/membership/encoded_size.hpp"
#include "chivedeal/membership/gossip_message.hpp"
#include "chivedeal/membership/stream_state.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>
#include <random>

using namespace chivedeal;
using namespace chivedeal::membership;

namespace {

std::string text() { return *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127)); }

node_record any_node()
{
    return {.id = node_id("n" + text()),
            .http = {.host = text(), .port = *rc::gen::arbitrary<std::uint16_t>()},
            .rpc = {.host = text(), .port = *rc::gen::arbitrary<std::uint16_t>()},
            .region = region_id(text()),
            .zone = zone_id(text()),
            .incarnation = *rc::gen::inRange<std::uint64_t>(0, std::uint64_t{1} << 43U),
            .status = static_cast<node_status>(*rc::gen::inRange(0, 4)),
            .ready = *rc::gen::arbitrary<bool>(),
            .applied_offset = *rc::gen::arbitrary<std::uint64_t>()};
}

fact any_fact()
{
    if (*rc::gen::arbitrary<bool>())
        return endpoint_leaving{.endpoint = endpoint_id(text()),
                                .remaining = *rc::gen::arbitrary<bool>()
                                                 ? absl::InfiniteDuration()
                                                 : absl::Milliseconds(*rc::gen::inRange(0, 99999))};
    return version_bad{.service = service_id(text()),
                       .version = version_id(text()),
                       .declared_offset = *rc::gen::arbitrary<std::uint64_t>(),
                       .reason = text()};
}

workspace_demand any_demand()
{
    return {node_id(text()), workspace_id(text()), *rc::gen::arbitrary<std::uint64_t>(),
            *rc::gen::inRange(0, 100000) / 7.0, *rc::gen::inRange(0, 1000)};
}

outcome_report any_outcome()
{
    return {*rc::gen::arbitrary<std::uint64_t>(),
            {.node = node_id(text()),
             .service = service_id(text()),
             .version = version_id(text()),
             .declared_offset = *rc::gen::arbitrary<std::uint64_t>(),
             .route = text(),
             .load_band = *rc::gen::inRange(0, 256),
             .requests = 1000,
             .errors = *rc::gen::inRange<std::uint64_t>(0, 1000),
             .slow = *rc::gen::inRange<std::uint64_t>(0, 1000)}};
}

template<class T>
std::vector<T> several(T (*make)())
{
    std::vector<T> out;
    for (int left = *rc::gen::inRange(0, 5); left > 0; --left)
        out.push_back(make());
    return out;
}

gossip_message any_message()
{
    gossip_message out{.sender = any_node(),
                       .known_nodes = *rc::gen::arbitrary<std::uint32_t>(),
                       .push = *rc::gen::arbitrary<bool>(),
                       .catch_up = *rc::gen::arbitrary<bool>(),
                       .nodes = several(any_node),
                       .facts = several(any_fact),
                       .demand = several(any_demand),
                       .outcomes = several(any_outcome)};
    for (auto& part : out.digest)
        part = *rc::gen::arbitrary<std::uint32_t>();
    return out;
}

gossip_message sample()
{
    return {.sender = {.id = node_id("node-1"), .rpc = {.host = "10.0.0.1", .port = 7001}},
            .digest = {1, 2, 3},
            .nodes = {{.id = node_id("node-2"), .zone = zone_id("z")}},
            .facts = {endpoint_leaving{.endpoint = endpoint_id("i1")},
                      version_bad{.service = service_id("s"), .reason = "errors"}},
            .demand = {{node_id("node-2"), workspace_id("w"), 1, 2.5, 3}},
            .outcomes = {{4, {.node = node_id("node-2"), .route = "r", .requests = 5}}}};
}

stream_state sample_stream()
{
    return {.request = request_id("r1"),
            .workspace = workspace_id("w"),
            .attempt = 2,
            .remaining = absl::Seconds(3),
            .body = "{\"prompt\": \"x\"}",
            .tokens = {"a", "b", ""},
            .outcome = "answered"};
}

} // namespace

// Guards against a field that is lost or altered between nodes.
RC_GTEST_PROP(peer_codec, returns_what_was_encoded, ())
{
    const gossip_message value = any_message();
    const auto decoded = decode_gossip(encode_gossip(value));
    RC_ASSERT(is_ok(decoded));
    RC_ASSERT(get_value(decoded) == value);
}

// Guards against messages over the byte budget because an item is larger than was reckoned.
RC_GTEST_PROP(peer_codec, is_never_larger_than_reckoned, ())
{
    const gossip_message value = any_message();
    std::size_t bound = encoded_header_size(value);
    const auto add = [&](const auto& list) {
        for (const auto& item : list)
            bound += encoded_size(item);
    };
    add(value.nodes);
    add(value.facts);
    add(value.demand);
    add(value.outcomes);
    RC_ASSERT(encode_gossip(value).size() <= bound);
}

// Guards against a stream that reaches its new owner incomplete.
TEST(peer_codec, returns_the_stream_that_was_encoded)
{
    const auto decoded = decode_stream(encode_stream(sample_stream()));
    ASSERT_TRUE(is_ok(decoded));
    EXPECT_EQ(get_value(decoded), sample_stream());
}

// Guards against a faulty peer's incarnation, rate or count that corrupts this node's own state.
TEST(peer_codec, rejects_values_out_of_range)
{
    gossip_message wrong = sample();
    wrong.sender.incarnation = std::uint64_t{1} << 60U;
    EXPECT_FALSE(is_ok(decode_gossip(encode_gossip(wrong))));
    wrong = sample();
    wrong.demand[0].rate = -1;
    EXPECT_FALSE(is_ok(decode_gossip(encode_gossip(wrong))));
    wrong = sample();
    wrong.sender.id = node_id();
    EXPECT_FALSE(is_ok(decode_gossip(encode_gossip(wrong))));
    wrong = sample();
    wrong.outcomes[0].count.errors = 6;
    EXPECT_FALSE(is_ok(decode_gossip(encode_gossip(wrong))));
    EXPECT_FALSE(is_ok(decode_gossip(std::string(65 * 1024, '\1'))));
}

// Guards against a crash or an endless read on damaged, cut or random input.
TEST(peer_codec, survives_any_input)
{
    std::mt19937_64 random(20261204);
    std::size_t tried = 0;
    std::size_t rejected = 0;
    const auto attempt = [&](const std::string& bytes) {
        ++tried;
        const auto gossip = decode_gossip(bytes);
        if (!is_ok(gossip)) {
            ++rejected;
            EXPECT_EQ(get_error(gossip).code, result_code::malformed_message);
        }
        const auto stream = decode_stream(bytes);
        if (!is_ok(stream))
            EXPECT_EQ(get_error(stream).code, result_code::malformed_message);
    };
    for (const std::string& valid : {encode_gossip(sample()), encode_stream(sample_stream())}) {
        for (std::size_t size = 0; size < valid.size(); ++size)
            attempt(valid.substr(0, size));
        for (int i = 0; i < 20000; ++i) {
            std::string damaged = valid;
            for (auto changes = random() % 4 + 1; changes > 0; --changes)
                damaged[random() % damaged.size()] = static_cast<char>(random());
            attempt(damaged);
        }
    }
    for (int i = 0; i < 20000; ++i) {
        std::string noise(random() % 200, '\0');
        for (char& byte : noise)
            byte = static_cast<char>(random());
        attempt(noise);
    }
    std::cout << "inputs tried: " << tried << ", rejected as gossip: " << rejected << "\n";
    EXPECT_GT(rejected, 0U);
}
