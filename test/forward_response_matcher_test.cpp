#include "chivedeal/forward/response_matcher.hpp"

#include "chivedeal/forward/http_response_head.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace chivedeal::forward {
namespace {

using match = response_matcher::match;

const std::string id_field = "Request-Id";

/// Feeds the heads of one connection, named by the identifiers that they echo, and returns the
/// verdict on the last one. The second request is awaited.
match last_match(const std::vector<std::optional<std::string>>& echoed_ids)
{
    response_matcher matcher;
    match last = match::unknown;
    for (const auto& id : echoed_ids) {
        http_response_head head{.status = 200};
        if (id)
            head.fields.push_back({id_field, *id});
        last = matcher.on_head(head, id_field, request_id("second"));
    }
    return last;
}

TEST(response_matcher, trusts_the_echoed_identifier)
{
    EXPECT_EQ(last_match({"first", "second"}), match::awaited);
    EXPECT_EQ(last_match({"first", "first"}), match::earlier);
}

// The first response of a connection can't be a repeated one.
TEST(response_matcher, accepts_a_first_response_without_identifier)
{
    EXPECT_EQ(last_match({std::nullopt}), match::awaited);
}

// A refusal without identifier that is repeated would otherwise pass for that of the next request.
TEST(response_matcher, doubts_a_later_response_without_identifier)
{
    EXPECT_EQ(last_match({std::nullopt, std::nullopt}), match::probably_awaited);
    EXPECT_EQ(last_match({"first", std::nullopt}), match::unknown);
}

// Two heads that were joined by a lost line break carry both identifiers.
TEST(response_matcher, rejects_several_identifiers)
{
    response_matcher matcher;
    const http_response_head head{.status = 503,
                                  .fields = {{id_field, "first"}, {id_field, "second"}}};
    EXPECT_EQ(matcher.on_head(head, id_field, request_id("second")), match::unknown);
}

} // namespace
} // namespace chivedeal::forward
