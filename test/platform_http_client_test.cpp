#include "fakes/raw_endpoint.hpp"
#include "platform/http_client.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

namespace chivedeal::platform {
namespace {

using fakes::raw_endpoint;
using fakes::raw_response;

const char* const sound_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Guards against a node that follows a peer's reads and finds its own connection to the store dead
// when that peer ends: it learned of leaving endpoints only after a timeout and a pause.
TEST(http_client, uses_a_new_connection_after_an_idle_time)
{
    const raw_endpoint store([](const std::string& /*request*/) {
        return raw_response{.bytes = sound_response, .then = raw_response::next::go_silent};
    });
    http_client client(store.listen_address());
    ASSERT_TRUE(is_ok(client.get("/", absl::Seconds(1))));
    absl::SleepFor(absl::Milliseconds(2100));
    EXPECT_TRUE(is_ok(client.get("/", absl::Seconds(1))));
}

// Guards against a new connection for each call.
TEST(http_client, keeps_its_connection_between_calls)
{
    const raw_endpoint store([](const std::string& /*request*/) {
        return raw_response{.bytes = sound_response, .then = raw_response::next::go_silent};
    });
    http_client client(store.listen_address());
    ASSERT_TRUE(is_ok(client.get("/", absl::Seconds(1))));
    EXPECT_FALSE(is_ok(client.get("/", absl::Milliseconds(200))));
}

struct endless_store_response
{
    const char* name;
    std::string begin;
    std::string filler;
};

const std::vector<endless_store_response> endless_store_responses{
    {"head", "HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
    {"header_line", "HTTP/1.1 200 OK\r\nField: ", "value"},
    {"status_line", "HTTP/1.1 200 ", "OK"},
    {"interim_responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"body", "HTTP/1.1 200 OK\r\n\r\n", "value"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nvalue\r\n"},
    {"chunk_size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5"},
};

class endless_store_response_test : public ::testing::TestWithParam<endless_store_response>
{};

// Guards against a node that runs out of memory because the store sends bytes without end.
TEST_P(endless_store_response_test, fails_the_call)
{
    const raw_endpoint store([](const std::string& /*request*/) {
        return raw_response{.bytes = GetParam().begin,
                            .then = raw_response::next::send_forever,
                            .filler = GetParam().filler};
    });
    http_client client(store.listen_address());
    const auto response = client.get("/", absl::Seconds(1));
    ASSERT_FALSE(is_ok(response));
    EXPECT_EQ(get_error(response).code, result_code::outcome_unknown);
}

INSTANTIATE_TEST_SUITE_P(http_client, endless_store_response_test,
                         ::testing::ValuesIn(endless_store_responses),
                         [](const auto& instance) { return std::string(instance.param.name); });

// Guards against a limit below what one call to the store may return.
TEST(http_client, reads_a_response_as_large_as_a_call_to_the_store)
{
    const std::string body(std::size_t{2} * 1024 * 1024, 'r');
    const raw_endpoint store([&body](const std::string& /*request*/) {
        return raw_response{.bytes = absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ",
                                                  body.size(), "\r\n\r\n", body)};
    });
    http_client client(store.listen_address());
    const auto response = client.get("/", absl::Seconds(10));
    ASSERT_TRUE(is_ok(response));
    EXPECT_EQ(get_value(response).body, body);
}

// Guards against an empty or short body of a response whose head or body was cut off.
TEST(http_client, fails_a_response_that_ends_inside_its_head_or_body)
{
    const std::string whole =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok";
    std::size_t size = 0;
    const raw_endpoint store([&](const std::string& /*request*/) {
        return raw_response{.bytes = whole.substr(0, size), .then = raw_response::next::close};
    });
    http_client client(store.listen_address());
    for (; size < whole.size(); ++size)
        EXPECT_FALSE(is_ok(client.get("/", absl::Seconds(1)))) << whole.substr(0, size);
    EXPECT_TRUE(is_ok(client.get("/", absl::Seconds(1))));
}

} // namespace
} // namespace chivedeal::platform
