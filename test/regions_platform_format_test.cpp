#include "platform/json_wire_format.hpp"
#include "platform/platform_settings.hpp"

#include <gtest/gtest.h>

namespace chivedeal::platform {
namespace {

forward::operator_record decode(const std::string& key, const std::string& value,
                                bool removed = false)
{
    auto decoded = json_wire_format().decode_operator_record(
        {.key = key, .value = value, .removed = removed, .offset = 7});
    return is_ok(decoded) ? get_value(decoded) : forward::operator_record();
}

forward::traffic_config decode_config(const std::string& routes, const std::string& tenants = "[]",
                                      const std::string& services = "[]")
{
    return std::get<forward::traffic_config>(
        decode("config", R"({"version":1,"routes":)" + routes + R"(,"tenants":)" + tenants +
                             R"(,"services":)" + services + "}"));
}

// Guards against an evacuation that is rejected for its empty value, or whose end is ignored.
TEST(regions_wire_format, decodes_evacuations_by_key_alone)
{
    for (const char* value : {"{}", "", "x", R"({"any":1})"})
        EXPECT_EQ(std::get<regions::zone_evacuation>(decode("evacuate/z1", value)),
                  (regions::zone_evacuation{.zone = zone_id("z1"), .offset = 7}));
    EXPECT_EQ(std::get<regions::zone_evacuation>(decode("evacuate/z1", "", true)),
              (regions::zone_evacuation{.zone = zone_id("z1"), .in_force = false, .offset = 7}));
    EXPECT_FALSE(is_ok(json_wire_format().decode_operator_record({.key = "evacuate/"})));
    EXPECT_TRUE(std::holds_alternative<std::monostate>(decode("config", "", true)));
}

TEST(regions_wire_format, decodes_home_regions_of_routes_and_workspaces)
{
    const auto config =
        decode_config(R"([{"name":"a","allowed_regions":["r1","r2"]},{"name":"b"},)"
                      R"({"name":"c","allowed_regions":[]},{"name":"d","allowed_regions":null}])",
                      R"([{"name":"t","allowed_regions":["r3"]},{"name":"u"}])");
    EXPECT_EQ(config.routes[0].homes, regions::home_regions({region_id("r1"), region_id("r2")}));
    for (const std::size_t unrestricted : {1, 2, 3})
        EXPECT_FALSE(config.routes[unrestricted].homes.is_restricted());
    EXPECT_EQ(config.workspaces[0].homes, regions::home_regions({region_id("r3")}));
    EXPECT_FALSE(config.workspaces[1].homes.is_restricted());
}

// Guards against requests that leave their region because of a mistake in the list.
TEST(regions_wire_format, allows_no_region_for_a_malformed_list)
{
    for (const char* list : {R"("r1")", "5", "[5]", R"({"r1":1})"}) {
        const auto config =
            decode_config(R"([{"name":"a","allowed_regions":)" + std::string(list) + "}]");
        EXPECT_TRUE(config.routes[0].homes.is_restricted()) << list;
        EXPECT_FALSE(config.routes[0].homes.allows(region_id("r1"))) << list;
        EXPECT_FALSE(config.routes[0].homes.allows(region_id())) << list;
    }
}

TEST(regions_wire_format, decodes_the_limit_of_cold_endpoints)
{
    const auto config =
        decode_config("[]", "[]",
                      R"([{"name":"a","cold_start_s":20,"cold_per_s":4},)"
                      R"({"name":"b","engine":{"slots":4,"cold_start_s":30,"cold_per_s":2.5}},)"
                      R"({"name":"c","cold_start_s":30},{"name":"d"}])");
    EXPECT_EQ(config.services[0].cold,
              (regions::cold_spec{.cold_time = absl::Seconds(20), .requests_per_s = 4}));
    EXPECT_EQ(config.services[1].cold,
              (regions::cold_spec{.cold_time = absl::Seconds(30), .requests_per_s = 2.5}));
    EXPECT_FALSE(config.services[2].cold.is_limited());
    EXPECT_FALSE(config.services[3].cold.is_limited());
}

// Guards against taking a record without the field for a statement that the endpoint isn't cold.
TEST(regions_wire_format, tells_a_missing_cold_time_from_zero)
{
    const auto remaining = [](const std::string& field) {
        return get_value(json_wire_format().decode_endpoint(
                             {.key = "e",
                              .value = R"({"service":"s","state":"ready","addr":"10.0.0.1:80",)"
                                       R"("slots":1)" +
                                       field + "}"}))
            .remaining_warm_up;
    };
    EXPECT_EQ(remaining(""), std::nullopt);
    EXPECT_EQ(remaining(R"(,"cold_left_ms":"5")"), std::nullopt);
    EXPECT_EQ(remaining(R"(,"cold_left_ms":0)"), absl::ZeroDuration());
    EXPECT_EQ(remaining(R"(,"cold_left_ms":1500)"), absl::Milliseconds(1500));
}

TEST(regions_settings, read_the_tolerance_of_cold_endpoints)
{
    const auto parse = [](const std::string& bounds) {
        return parse_settings(R"({"node":"n","zone":"z","region":"r",)"
                              R"("listen":{"front":"10.0.0.1:1","control":"10.0.0.1:2"},)"
                              R"("provider":{"addr":"10.0.0.1:3"},"bounds":)" +
                              bounds + "}");
    };
    const auto defaults = parse("{}");
    ASSERT_TRUE(std::holds_alternative<platform_settings>(defaults));
    EXPECT_EQ(std::get<platform_settings>(defaults).node.cold,
              (regions::cold_tolerance{.factor = 1.5, .slack_requests = 5}));
    const auto given = parse(R"({"cold_over":2,"cold_slack":1})");
    ASSERT_TRUE(std::holds_alternative<platform_settings>(given));
    EXPECT_EQ(std::get<platform_settings>(given).node.cold,
              (regions::cold_tolerance{.factor = 2, .slack_requests = 1}));
    EXPECT_FALSE(std::holds_alternative<platform_settings>(parse(R"({"cold_over":-1})")));
}

} // namespace
} // namespace chivedeal::platform
