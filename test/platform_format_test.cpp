#include "platform/json_wire_format.hpp"
#include "platform/log_store.hpp"
#include "platform/platform_settings.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chivedeal::platform {
namespace {

forward::stored_record make_record(const std::string& key, const std::string& value)
{
    return {.key = key, .value = value};
}

constexpr const char* endpoint_json =
    R"({"service":"s","addr":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":48,"state":"draining","cold_left_ms":5,"born":7,)"
    R"("spot":true,"leaves_ms":2500,"seq":4})";

TEST(json_wire_format, decodes_an_endpoint)
{
    const auto decoded = json_wire_format().decode_endpoint(make_record("i-1", endpoint_json));
    ASSERT_TRUE(is_ok(decoded));
    EXPECT_EQ(get_value(decoded),
              (forward::endpoint_record{.id = endpoint_id("i-1"),
                                        .service = service_id("s"),
                                        .address = {.host = "10.0.0.1", .port = 80},
                                        .zone = zone_id("z"),
                                        .version = version_id("v1"),
                                        .slots = 48,
                                        .leaving = true,
                                        .remaining_warm_up = absl::Milliseconds(5),
                                        .started_at_unix_ms = 7,
                                        .reclaimable = true,
                                        .reclaimed_in = absl::Milliseconds(2500)}));
}

// Guards against routing to an endpoint whose record, written by another process, has missing or
// mistyped fields.
TEST(json_wire_format, rejects_malformed_endpoints)
{
    const json_wire_format format;
    for (const char* value :
         {"", "[]", "{", R"({"service":5})", R"({"service":"s","state":"ready","slots":1})",
          R"({"service":"s","state":"odd","addr":"1.2.3.4:5","slots":1})",
          R"({"service":"s","state":"ready","addr":"1.2.3.4:5","slots":"1"})"})
        EXPECT_FALSE(is_ok(format.decode_endpoint(make_record("i", value)))) << value;
}

// Guards against a node that ends whenever it reads the list of endpoints: a copy of a deeply nested
// value needs more stack than a thread has.
TEST(json_wire_format, rejects_a_deeply_nested_record)
{
    const std::size_t depth = 120000;
    const std::string arrays = std::string(depth, '[') + std::string(depth, ']');
    std::string objects;
    for (std::size_t i = 0; i < depth / 3; ++i)
        objects += R"({"a":)";
    objects += "0" + std::string(depth / 3, '}');
    const json_wire_format format;
    for (const std::string& nested : {arrays, objects}) {
        const std::string value = R"({"service":"s","addr":"10.0.0.1:80","slots":4,)"
                                  R"("state":"ready","extra":)" +
                                  nested + "}";
        EXPECT_FALSE(is_ok(format.decode_endpoint(make_record("i", value))));
        EXPECT_FALSE(is_ok(format.decode_operator_record(make_record("config", value))));
    }
    // Brackets in a string don't nest.
    const std::string quoted = R"({"service":"s","addr":"10.0.0.1:80","slots":4,)"
                               R"("state":"ready","extra":"\")" +
                               std::string(depth, '[') + "\"}";
    EXPECT_TRUE(is_ok(format.decode_endpoint(make_record("i", quoted))));
}

// Guards against routing to an address or with a size that is the remainder of a larger number, or
// to the node's own host, as which the system takes an invalid address.
TEST(json_wire_format, rejects_numbers_and_addresses_out_of_range)
{
    const json_wire_format format;
    const auto decodes = [&format](const std::string& addr, const std::string& slots) {
        return is_ok(format.decode_endpoint(
            make_record("i", R"({"service":"s","state":"ready","addr":")" + addr + R"(","slots":)" +
                                 slots + R"(,"born":1e30,"cold_left_ms":1e300})")));
    };
    EXPECT_TRUE(decodes("10.0.0.1:80", "48"));
    for (const char* addr : {"10.0.0.1:65536", "10.0.0.1:4294967376", "10.0.0.1:-1", "10.0.0.1:8e1",
                             "10.0.0.256:80", "10.0.0:80", "host:80"})
        EXPECT_FALSE(decodes(addr, "48")) << addr;
    for (const char* slots : {"4294967344", "18446744073709551615", "1e400", "-1", "1e3",
                              "99999999999999999999999", "2147483647"})
        EXPECT_FALSE(decodes("10.0.0.1:80", slots)) << slots;
    EXPECT_FALSE(is_ok(format.decode_endpoint(make_record("", endpoint_json))));
}

// Guards against a crash of the node on a malformed record written by another process.
RC_GTEST_PROP(json_wire_format, does_not_crash_on_arbitrary_bytes, (const std::string& bytes))
{
    const json_wire_format format;
    (void)format.decode_endpoint(make_record("i", bytes));
    (void)format.decode_operator_record(make_record("config", bytes));
    (void)format.decode_operator_record(make_record("rollout/s", bytes));
    (void)format.decode_rollout_status(make_record("rollout/s", bytes));
    RC_SUCCEED("did not crash");
}

TEST(json_wire_format, decodes_a_configuration)
{
    const auto decoded = json_wire_format().decode_operator_record(make_record(
        "config",
        R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","kind":"streaming",)"
        R"("timeout_ms":15000,"goal_ms":500,"priority":1,"backends":[{"service":"a","weight":90},)"
        R"({"service":"b","weight":10}],"attempts":2,"public":false,"resumable":true,"gap_aim_ms":250}],)"
        R"("services":[{"name":"a","max_conns":310,"engine":{"slots":48,"kv_capacity":9},)"
        R"("scale":{"min":1,"max":12,"boot_s":4.0,"spot_price":0.18,"zone_prices":{"z":0.8}}}],)"
        R"("limits":{"max_body_bytes":5},"tenants":[{"name":"t","api_keys":["k"],"priority":1,)"
        R"("unit":"tokens","plain_tokens":200,"rate_per_s":10,"burst":20}]})"));
    ASSERT_TRUE(is_ok(decoded));
    const auto& config = std::get<forward::traffic_config>(get_value(decoded));
    EXPECT_EQ(config.version, 7);
    ASSERT_EQ(config.routes.size(), 1U);
    EXPECT_EQ(config.routes[0].kind, forward::route_kind::streaming);
    EXPECT_EQ(config.routes[0].services[1],
              (forward::weighted_service{.service = service_id("b"), .weight = 10}));
    EXPECT_EQ(config.services[0].scale->zone_prices.at(zone_id("z")), 0.8);
    EXPECT_EQ(config.limits.max_body_bytes, 5U);
    EXPECT_EQ(config.workspaces[0].priority, 1);
}

// Guards against a node that cannot read the rollout status which another node wrote.
TEST(json_wire_format, round_trips_a_rollout_status)
{
    const json_wire_format format;
    forward::outcome_ledger outcomes;
    outcomes.add("n1/5", {.target_good = 3,
                          .target_bad = 1,
                          .other_good = 40,
                          .other_bad = 2,
                          .compared_good = 2,
                          .compared_bad = 1,
                          .expected_bad_milli = 120});
    const forward::rollout_status status{.service = service_id("s"),
                                         .target = version_id("v2"),
                                         .state = forward::rollout_state::rolled_back,
                                         .order_offset = 7,
                                         .started_at = absl::FromUnixMillis(1234),
                                         .proven = true,
                                         .lowest_excess = -1.5,
                                         .stable = {version_id("v0"), version_id("v1")},
                                         .outcomes = outcomes};
    const auto decoded = format.decode_rollout_status(
        make_record(format.rollout_status_key(status), format.encode_rollout_status(status)));
    ASSERT_TRUE(is_ok(decoded));
    EXPECT_EQ(get_value(decoded), status);
}

TEST(log_store, round_trips_records)
{
    const std::string bytes =
        std::string(16, '\0') + encode_record("key", "value") + encode_record("gone", "");
    const auto decoded = decode_records(bytes, 5, true);
    ASSERT_TRUE(is_ok(decoded));
    EXPECT_EQ(get_value(decoded),
              (forward::record_batch{.records = {{.key = "key", .value = "value", .offset = 5},
                                                 {.key = "gone", .removed = true, .offset = 6}},
                                     .next_offset = 7}));
}

// Guards against taking the response of a broken connection for a complete, shorter one.
TEST(log_store, rejects_a_truncated_response)
{
    const std::string bytes = std::string(16, '\0') + encode_record("key", "value");
    for (std::size_t byte_count = 0; byte_count < bytes.size(); ++byte_count)
        if (byte_count != 16)
            EXPECT_FALSE(is_ok(decode_records(bytes.substr(0, byte_count), 0, true))) << byte_count;
}

// Guards against an out-of-bounds read when the lengths in a response are corrupted.
// Guards against a node that no longer follows a topic after a record whose key is cut off.
TEST(log_store, reads_on_after_a_record_with_a_malformed_key)
{
    const std::string offsets(16, '\0');
    const std::string malformed = encode_record("", std::string("\x09") + "ab");
    const auto decoded =
        decode_records(offsets + malformed + encode_record("key", "value"), 7, true);
    ASSERT_TRUE(is_ok(decoded));
    ASSERT_EQ(get_value(decoded).records.size(), 2U);
    EXPECT_EQ(get_value(decoded).records[0].key, "");
    EXPECT_FALSE(get_value(decoded).records[0].removed);
    EXPECT_EQ(get_value(decoded).records[1].key, "key");
    EXPECT_EQ(get_value(decoded).records[1].offset, 8U);
}

RC_GTEST_PROP(log_store, does_not_crash_on_arbitrary_bytes, (const std::string& bytes))
{
    (void)decode_records(bytes, 0, true);
    RC_SUCCEED("did not crash");
}

// Guards against reporting only the first invalid field, which would cost the operator one start
// per error.
TEST(platform_settings, reports_all_invalid_fields)
{
    const auto parsed =
        parse_settings(R"({"node":"n","listen":{"front":"x"},"bounds":{"grace_s":-1}})");
    const auto& errors = std::get<std::vector<error>>(parsed);
    std::string messages;
    for (const error& field_error : errors)
        messages += field_error.message + "\n";
    for (const char* name :
         {"zone", "region", "listen.front", "listen.control", "grace_s", "provider.addr"})
        EXPECT_NE(messages.find(name), std::string::npos) << name << " in\n" << messages;
}

// Guards against rejecting settings to which a newer platform has added a field.
TEST(platform_settings, reads_bounds_and_ignores_unknown_fields)
{
    const auto parsed = parse_settings(
        R"({"node":"n","zone":"z","region":"r","zones":{"z":"r"},"later":1,"seeds":["10.0.0.1:2"],)"
        R"("bootstrap":true,"listen":{"front":"10.0.0.1:1","control":"10.0.0.1:2"},"bounds":{"retry_slack":58},)"
        R"("provider":{"addr":"10.0.0.2:3"},"cloud":{"addr":"10.0.0.3:4","duties":["usage"]}})");
    ASSERT_TRUE(std::holds_alternative<platform_settings>(parsed));
    const auto& settings = std::get<platform_settings>(parsed);
    EXPECT_EQ(settings.node.retry_slack_requests, 58);
    EXPECT_TRUE(settings.node.is_first_start);
    EXPECT_TRUE(settings.node.reports_usage);
    EXPECT_FALSE(settings.node.orders_endpoints);
    EXPECT_EQ(settings.node.seeds.size(), 1U);
    // The machine's own limits apply if these are absent.
    EXPECT_EQ(settings.node.instance.memory_bytes, 0U);
    EXPECT_EQ(settings.node.instance.max_descriptors, 0U);
}

// Guards against a node that takes itself for larger than its instance, and is killed.
TEST(platform_settings, reads_the_limits_of_the_instance)
{
    const std::string other =
        R"({"node":"n","zone":"z","region":"r","provider":{"addr":"10.0.0.2:3"},)"
        R"("listen":{"front":"10.0.0.1:1","control":"10.0.0.1:2"},"limits":)";
    const auto parsed = parse_settings(other + R"({"memory_mb":120,"max_fds":3075,"cpu":0.1}})");
    ASSERT_TRUE(std::holds_alternative<platform_settings>(parsed));
    const auto& instance = std::get<platform_settings>(parsed).node.instance;
    EXPECT_EQ(instance.memory_bytes, 120U * 1024U * 1024U);
    EXPECT_EQ(instance.max_descriptors, 3075U);
    const auto invalid = parse_settings(other + R"({"memory_mb":0,"max_fds":"many"}})");
    ASSERT_TRUE(std::holds_alternative<std::vector<error>>(invalid));
    EXPECT_EQ(std::get<std::vector<error>>(invalid).size(), 2U);
}

// Guards against a header of the platform that is never read because its name differs.
TEST(platform_headers, name_the_load_of_an_endpoint)
{
    EXPECT_EQ(platform_headers().endpoint_load, "Server-Load");
}

} // namespace
} // namespace chivedeal::platform
