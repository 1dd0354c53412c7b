#include "test/scenario_runner/script.hpp"

#include <gtest/gtest.h>

using chivedeal::get_value;
using chivedeal::is_ok;
using chivedeal::scenario::parse_script;

// Guards against a scenario line that is silently read as something else.
TEST(scenario_script, parses_words_options_and_json)
{
    const auto parsed = parse_script("# comment\nproves P3 with stream_resume\n"
                                     "send r1 prompt=\"oak bowl\" tokens=3 {\"a\": 1}\n"
                                     "until n1 /v1/status?x=1 /a >= 2\n");
    ASSERT_TRUE(is_ok(parsed));
    EXPECT_EQ(get_value(parsed).promise, "P3");
    EXPECT_EQ(get_value(parsed).mechanism, "stream_resume");
    ASSERT_EQ(get_value(parsed).statements.size(), 2U);
    const auto& send = get_value(parsed).statements[0];
    EXPECT_EQ(send.words, std::vector<std::string>{"r1"});
    EXPECT_EQ(send.options.at("prompt"), "oak bowl");
    EXPECT_EQ(send.json, "{\"a\": 1}");
    EXPECT_EQ(get_value(parsed).statements[1].words,
              (std::vector<std::string>{"n1", "/v1/status?x=1", "/a", ">=", "2"}));
}

// Guards against a scenario that runs with a broken line.
TEST(scenario_script, refuses_open_quotes_and_broken_json)
{
    EXPECT_FALSE(is_ok(parse_script("send r1 prompt=\"oak\nready n1")));
    EXPECT_FALSE(is_ok(parse_script("fault e1 {\"a\": }")));
}
