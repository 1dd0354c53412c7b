#include "fakes/raw_endpoint.hpp"
#include "platform/http_client.hpp"

#include "absl/time/clock.h"

#include <gtest/gtest.h>

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

} // namespace
} // namespace chivedeal::platform
