#include "chivedeal/state/signature.hpp"

#include "chivedeal/state/record.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

using namespace chivedeal;        // NOLINT(google-build-using-namespace)
using namespace chivedeal::state; // NOLINT(google-build-using-namespace)

// Guards against an undetected modification of a signed field.
TEST(signature, covers_every_field)
{
    const declaration_change change{.team = team_id("t"),
                                    .path = "/teams/t/services/s",
                                    .expected_version = 3,
                                    .body = "{}",
                                    .signature = {}};
    const std::string signature = sign_change(change, change_id("c"), "key");
    const auto verify = [&](declaration_change altered, const char* id, const char* key) {
        altered.signature = signature;
        return verify_change(altered, change_id(id), key);
    };
    EXPECT_TRUE(verify(change, "c", "key"));
    EXPECT_FALSE(verify(change, "d", "key"));
    EXPECT_FALSE(verify(change, "c", "other"));
    auto altered = change;
    altered.team = team_id("u");
    EXPECT_FALSE(verify(altered, "c", "key"));
    altered = change;
    altered.path += "x";
    EXPECT_FALSE(verify(altered, "c", "key"));
    altered = change;
    altered.expected_version = 4;
    EXPECT_FALSE(verify(altered, "c", "key"));
    altered = change;
    altered.body = "";
    EXPECT_FALSE(verify(altered, "c", "key"));
    altered = change;
    altered.body = std::nullopt;
    EXPECT_FALSE(verify(altered, "c", "key"));
    EXPECT_FALSE(verify_change(change, change_id("c"), "key"))
        << "empty signature must be rejected";
}

// Guards against ambiguous framing, where bytes can move between adjacent fields undetected.
RC_GTEST_PROP(signature, adjacent_fields_are_unambiguous, (const std::string& text))
{
    const auto split = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    const auto other = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    const auto sign_split = [&](std::size_t at) {
        return sign_change({.team = team_id(text.substr(0, at)),
                            .path = text.substr(at),
                            .expected_version = 0,
                            .body = std::nullopt,
                            .signature = {}},
                           change_id("c"), "key");
    };
    RC_ASSERT((sign_split(split) == sign_split(other)) == (split == other));
}
