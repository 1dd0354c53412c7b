#include "chivedeal/core/json_object.hpp"
#include "chivedeal/requests/json_merge.hpp"
#include "chivedeal/requests/request_members.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <string>

namespace chivedeal::requests {
namespace {

using nlohmann::json;

// Guards against a request that is routed by a member of an inner object.
TEST(request_members, reads_members_of_the_outermost_object)
{
    const auto members = read_request_members(
        R"({"inner":{"route":"x","prompt":"y","max_tokens":1},"route":"r","prompt":"oak",)"
        R"("max_tokens":7})");
    ASSERT_TRUE(members);
    EXPECT_EQ(*members, (request_members{.route = "r", .max_tokens = 7, .prefix = "oak"}));
    const auto others = read_request_members(R"({"route":1,"prompt":["a"],"max_tokens":-2})");
    ASSERT_TRUE(others);
    EXPECT_EQ(*others, request_members{});
}

// Guards against text that an endpoint can't process, and against values that are nested so deeply
// that processing them overflows a stack.
TEST(request_members, accepts_only_objects_of_limited_depth)
{
    EXPECT_TRUE(read_request_members("{}"));
    for (const char* text : {"", "[1]", "1", "\"a\"", "null", "{\"a\":1", "{} {}", "[{}]"})
        EXPECT_FALSE(read_request_members(text)) << text;
    const auto nested = [](std::size_t levels) {
        return R"({"a":)" + std::string(levels - 1, '[') + std::string(levels - 1, ']') + "}";
    };
    EXPECT_TRUE(read_request_members(nested(64)));
    EXPECT_FALSE(read_request_members(nested(65)));
    EXPECT_FALSE(read_request_members(nested(1'000'000)));
}

// Guards against a body that differs from what the caller sent, or in which the caller sets a member
// that only the node may set.
TEST(json_merge, replaces_members_of_the_outermost_object_only)
{
    const std::string merged = with_members(
        R"({"attempt":{"x":[1]},"a":[1,-2,3.50,true,null,"\u00e9\n",{"attempt":4}],"b":{}})",
        json{{"attempt", 2}});
    EXPECT_EQ(merged, R"({"a":[1,-2,3.50,true,null,"é\n",{"attempt":4}],"b":{},"attempt":2})");
    EXPECT_EQ(with_members("{}", json{{"a", 1}}), R"({"a":1})");
    EXPECT_EQ(with_members(R"({"a":[2]})", json{{"a", 1}}), R"({"a":1})");
    EXPECT_EQ(with_members(R"({"a":[2]})", json::object()), R"({"a":[2]})");
    EXPECT_EQ(with_members("[1]", json{{"a", 1}}), R"({"a":1})");
}

json make_value(int depth)
{
    const int kind = *rc::gen::inRange(0, depth > 0 ? 6 : 4);
    switch (kind) {
    case 0:
        return *rc::gen::arbitrary<int>();
    case 1:
        return *rc::gen::string<std::string>() == "" ? json(nullptr) : json(true);
    case 2:
        return *rc::gen::container<std::string>(rc::gen::inRange('a', 'f'));
    case 3:
        return 0.25 * *rc::gen::inRange(-100, 100);
    case 4: {
        json list = json::array();
        for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
            list.push_back(make_value(depth - 1));
        return list;
    }
    default: {
        json object = json::object();
        for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
            object[std::string(1, *rc::gen::inRange('a', 'f'))] = make_value(depth - 1);
        return object;
    }
    }
}

// The result is what building all values and encoding them again gives.
RC_GTEST_PROP(json_merge, equals_the_merge_of_the_values, ())
{
    json object = json::object();
    for (const char name : {'a', 'b', 'c'})
        if (*rc::gen::arbitrary<bool>())
            object[std::string(1, name)] = make_value(3);
    json members = json::object();
    for (const char name : {'b', 'd'})
        if (*rc::gen::arbitrary<bool>())
            members[std::string(1, name)] = make_value(1);
    json expected = object;
    expected.update(members);
    RC_ASSERT(json::parse(with_members(object.dump(), members)) == expected);
}

} // namespace
} // namespace chivedeal::requests
