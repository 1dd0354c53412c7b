#include "chivedeal/membership/http_instance_source.hpp"

#include "chivedeal/core/posix_thread.hpp"
#include "fakes/fake_clock.hpp"
#include "fakes/loopback_socket.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

using namespace chivedeal;
using namespace chivedeal::membership;

namespace {

const std::string list =
    R"({"instances": [{"id": "i1", "address": "127.0.0.1", "port": 9000, "region": "r",
    "zone": "z", "class": "c", "reclaimable": true, "kind": "plain", "service": "s",
    "version": "v", "status": "leaving"}, {"id": "i2", "port": "none"}]})";

} // namespace

// Guards against one faulty entry that hides the others, and against wrong fields.
TEST(http_instance_source, leaves_out_a_faulty_entry)
{
    const auto parsed = parse_instances(list);
    ASSERT_TRUE(is_ok(parsed));
    const endpoint wanted{.id = endpoint_id("i1"),
                          .listen = {.host = "127.0.0.1", .port = 9000},
                          .region = region_id("r"),
                          .zone = zone_id("z"),
                          .machine_class = "c",
                          .reclaimable = true,
                          .kind = state::service_kind::plain,
                          .service = service_id("s"),
                          .version = version_id("v"),
                          .status = endpoint_status::leaving};
    EXPECT_EQ(get_value(parsed), std::vector{wanted});
    EXPECT_EQ(get_error(parse_instances("{}")).code, result_code::malformed_message);
    EXPECT_EQ(get_error(parse_notices("[1", {})).code, result_code::malformed_message);
}

// Guards against a platform outage that reads as an empty list.
TEST(http_instance_source, reads_the_platform_and_reports_an_outage)
{
    fakes::fake_clock time(absl::FromUnixMillis(5000));
    httplib::Server platform;
    platform.Get("/instances", [](const httplib::Request&, httplib::Response& response) {
        response.set_content(list, "application/json");
    });
    platform.Get("/notices", [](const httplib::Request& request, httplib::Response& response) {
        const std::string seq = request.get_param_value("after") + "1";
        response.set_content(R"({"next": 9, "notices": [{"seq": )" + seq +
                                 R"(, "instance": "i1", "deadline_ms": 7000}]})",
                             "application/json");
    });
    const int port = platform.bind_to_any_port("127.0.0.1");
    posix_thread thread("platform", [&] { platform.listen_after_bind(); });
    http_instance_source source(
        {.platform = {.host = "127.0.0.1", .port = static_cast<std::uint16_t>(port)},
         .time = time,
         .timeout = absl::Minutes(10)});
    EXPECT_EQ(get_value(source.instances()).size(), 1U);
    const std::vector<reclaim_notice> wanted{
        {.sequence = 41, .endpoint = endpoint_id("i1"), .remaining = absl::Seconds(2)}};
    EXPECT_EQ(get_value(source.notices(4)), wanted);
    platform.stop();
    thread.join();
    EXPECT_EQ(get_error(source.instances()).code, result_code::io_error);
}

// Guards against an unchanged list that is sent and parsed again at each poll, against one that
// reads as empty, and against a change that is missed.
TEST(http_instance_source, reads_an_unchanged_list_once)
{
    fakes::fake_clock time;
    httplib::Server platform;
    std::string body = list;
    std::string tag = "\"1\"";
    int bodies = 0;
    platform.Get("/instances", [&](const httplib::Request& request, httplib::Response& response) {
        response.set_header("ETag", tag);
        if (request.get_header_value("If-None-Match") == tag) {
            response.status = 304;
            return;
        }
        ++bodies;
        response.set_content(body, "application/json");
    });
    const int port = platform.bind_to_any_port("127.0.0.1");
    posix_thread thread("platform", [&] { platform.listen_after_bind(); });
    http_instance_source source(
        {.platform = {.host = "127.0.0.1", .port = static_cast<std::uint16_t>(port)},
         .time = time,
         .timeout = absl::Minutes(10)});
    const auto first = source.instances();
    EXPECT_EQ(get_value(first).size(), 1U);
    EXPECT_EQ(get_value(source.instances()), get_value(first));
    EXPECT_EQ(bodies, 1);
    body = "broken";
    tag = "\"2\"";
    EXPECT_EQ(get_error(source.instances()).code, result_code::malformed_message);
    body = R"({"instances": []})";
    EXPECT_TRUE(get_value(source.instances()).empty()) << "a broken list is not remembered";
    EXPECT_EQ(bodies, 3);
    platform.stop();
    thread.join();
}
