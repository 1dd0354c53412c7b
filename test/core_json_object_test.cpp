#include "chivedeal/core/json_object.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <cstdio>

using chivedeal::encode_json;
using chivedeal::member_or;
using chivedeal::parse_json_object;

// Guards against an endpoint whose wrong types end the thread that reads them.
TEST(json_object, a_member_of_another_type_gives_the_fallback)
{
    const auto object = parse_json_object(R"({"n": -1, "s": "x", "f": 1.5, "b": true, "z": null})");
    EXPECT_EQ(member_or(object, "n", 0), -1);
    EXPECT_EQ(member_or(object, "n", std::uint64_t{7}), 7U);
    EXPECT_EQ(member_or(object, "s", 3), 3);
    EXPECT_EQ(member_or(object, "s", ""), "x");
    EXPECT_EQ(member_or(object, "f", 2), 2);
    EXPECT_EQ(member_or(object, "f", 2.0), 1.5);
    EXPECT_EQ(member_or(object, "b", false), true);
    EXPECT_EQ(member_or(object, "z", "none"), "none");
    EXPECT_EQ(member_or(object, "absent", "none"), "none");
}

// Guards against a crash on bytes from outside, in both directions.
TEST(json_object, takes_any_bytes)
{
    int tried = 0;
    EXPECT_TRUE(rc::check("random bytes", [&](const std::string& bytes) {
        ++tried;
        RC_ASSERT(parse_json_object(bytes).is_object());
        RC_ASSERT(!encode_json(bytes).empty());
    }));
    std::printf("json_object: %d inputs tried\n", tried);
}
