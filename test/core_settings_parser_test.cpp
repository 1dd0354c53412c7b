#include "chivedeal/core/settings_parser.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <variant>
#include <vector>

using chivedeal::error;
using chivedeal::settings;
using chivedeal::settings_parser;

namespace {

std::vector<std::string> complete_arguments()
{
    return {"--node", "n1",          "--region", "zurich",      "--zone",     "z1",
            "--http", "127.0.0.1:1", "--rpc",    "127.0.0.1:2", "--platform", "127.0.0.1:3"};
}

} // namespace

// Guards against a default that differs from the documented one.
TEST(settings_parser, fills_defaults)
{
    const auto parsed = settings_parser().parse(complete_arguments());
    ASSERT_TRUE(std::holds_alternative<settings>(parsed));
    EXPECT_EQ(std::get<settings>(parsed).address_ttl, absl::Seconds(5));
    EXPECT_TRUE(std::get<settings>(parsed).seeds.empty());
}

// Guards against an operator who has to start the node once for each mistake.
TEST(settings_parser, reports_all_faults_at_once)
{
    const auto parsed = settings_parser().parse(
        {"--node", "n 1", "--http", "nowhere", "--load-poll-ms", "fast", "--nod", "x"});
    ASSERT_TRUE(std::holds_alternative<std::vector<error>>(parsed));
    // node, http, load-poll-ms, unknown flag and its value, and four required ones.
    EXPECT_EQ(std::get<std::vector<error>>(parsed).size(), 9U);
}

// Guards against a flag that loses to a variable of the machine image.
TEST(settings_parser, flag_goes_before_variable)
{
    setenv("CHIVEDEAL_NODE", "from_environment", 1);
    setenv("CHIVEDEAL_MAX_STREAMS", "300", 1);
    const auto parsed = settings_parser().parse(complete_arguments());
    unsetenv("CHIVEDEAL_NODE");
    unsetenv("CHIVEDEAL_MAX_STREAMS");
    ASSERT_TRUE(std::holds_alternative<settings>(parsed));
    EXPECT_EQ(std::get<settings>(parsed).node.str(), "n1");
    EXPECT_EQ(std::get<settings>(parsed).max_streams, 300U);
}

// Guards against a key in an error message, and so in a log.
TEST(settings_parser, never_repeats_a_key)
{
    setenv("CHIVEDEAL_TEAM_KEYS", "hall=shortsecret,yard=0123456789abcdef", 1);
    const auto parsed = settings_parser().parse(complete_arguments());
    unsetenv("CHIVEDEAL_TEAM_KEYS");
    ASSERT_TRUE(std::holds_alternative<std::vector<error>>(parsed));
    for (const error& fault : std::get<std::vector<error>>(parsed))
        EXPECT_EQ(fault.message.find("shortsecret"), std::string::npos);
}
