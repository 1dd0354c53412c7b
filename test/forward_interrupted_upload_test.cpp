// Endpoints that respond before they have read the request, and end the connection during it.
#include "fakes/eventually.hpp"
#include "fakes/node_fixture.hpp"
#include "fakes/raw_endpoint.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

namespace chivedeal::forward {
namespace {

using fakes::raw_endpoint;
using fakes::raw_response;

constexpr absl::Duration max_wait = absl::Seconds(30);
// Larger than what the buffers of the connection to the endpoint take in.
constexpr std::size_t upload_bytes = 4'000'000;

struct interrupted_upload
{
    const char* name;
    const char* path;
    std::string response;
    raw_response::next then;
    /// Status of the response to the caller, or 0 if it has to end incomplete.
    int expected_status;
};

const std::vector<interrupted_upload> interrupted_uploads{
    {"reset", "/app/x", "HTTP/1.1 200 OK\r\n\r\nhalf of the ans", raw_response::next::crash, 502},
    {"reset_of_a_stream", "/stream/x", "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n",
     raw_response::next::crash, 0},
    {"reset_after_an_error", "/app/x", "HTTP/1.1 413 Too Large\r\n\r\ntoo",
     raw_response::next::crash, 502},
    {"reset_after_a_response_with_length", "/app/x",
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", raw_response::next::crash, 200},
    {"end_of_output", "/app/x", "HTTP/1.1 200 OK\r\n\r\nhalf of the ans",
     raw_response::next::end_output, 502},
    {"end_of_output_of_a_stream", "/stream/x", "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n",
     raw_response::next::end_output, 0},
    {"end_of_output_after_an_error", "/app/x", "HTTP/1.1 413 Too Large\r\n\r\ntoo large",
     raw_response::next::end_output, 413},
};

class interrupted_upload_test : public fakes::node_fixture,
                                public ::testing::WithParamInterface<interrupted_upload>
{};

// Guards against passing on part of a response without a length as complete. A failed write takes
// the error of a reset connection with it, and the next read reports an orderly end.
TEST_P(interrupted_upload_test, does_not_complete_a_success_without_length)
{
    publish_config(1);
    raw_endpoint endpoint(
        [](const std::string& /*head*/) {
            return raw_response{.bytes = GetParam().response, .then = GetParam().then};
        },
        {.reads_bodies = false});
    publish_endpoint(endpoint.listen_address());
    start();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    const auto answer = post(GetParam().path, "key", "", "id-1", std::string(upload_bytes, 'u'));
    EXPECT_EQ(answer ? answer->status : 0, GetParam().expected_status);
}

INSTANTIATE_TEST_SUITE_P(endpoint_faults_test, interrupted_upload_test,
                         ::testing::ValuesIn(interrupted_uploads),
                         [](const auto& instance) { return std::string(instance.param.name); });

} // namespace
} // namespace chivedeal::forward
