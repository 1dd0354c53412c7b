#include "chivedeal/operators/wire.hpp"

#include "chivedeal/operators/change_answer.hpp"
#include "chivedeal/state/declaration.hpp"
#include "chivedeal/state/record.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdio>

using namespace chivedeal;            // NOLINT(google-build-using-namespace)
using namespace chivedeal::operators; // NOLINT(google-build-using-namespace)

namespace {

const state::declaration_change change{.team = team_id("hall"),
                                       .path = "/teams/hall/services/s",
                                       .expected_version = 4,
                                       .body = R"({"kind":"plain"})",
                                       .signature = "ab"};

} // namespace

// Guards against a field that one side forgets.
TEST(operators_wire, round_trip)
{
    const auto decoded = decode_change(encode_change(change_id("c1"), change));
    ASSERT_TRUE(is_ok(decoded));
    EXPECT_EQ(get_value(decoded), (state::record{.change = change_id("c1"), .body = change}));

    const change_answer answer{.change = change_id("c1"),
                               .effect = {.code = result_code::conflict, .message = "again"},
                               .version = 9};
    EXPECT_EQ(get_value(decode_change_answer(encode_change_answer(answer))), answer);

    const std::vector<state::declaration> list{{.path = "/p", .version = 2, .body = "{}"}};
    EXPECT_EQ(get_value(decode_declarations(encode_declarations(list))), list);
}

// Guards against a crash or a half-read change from a malformed or cut-off body.
TEST(operators_wire, refuses_random_and_truncated_input)
{
    int tried = 0;
    const std::string whole = encode_change(change_id("c1"), change);
    for (std::size_t size = 0; size < whole.size(); ++size, ++tried)
        EXPECT_FALSE(is_ok(decode_change(whole.substr(0, size))));
    EXPECT_TRUE(rc::check("random bytes", [&](const std::string& bytes) {
        ++tried;
        RC_ASSERT(!is_ok(decode_change(bytes)));
        RC_ASSERT(!is_ok(decode_change_answer(bytes)));
        RC_ASSERT(!is_ok(decode_declarations(bytes)));
        decode_error(bytes);
    }));
    std::printf("operators_wire: %d inputs tried\n", tried);
}
