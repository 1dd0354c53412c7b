#include "fakes/eventually.hpp"
#include "fakes/node_fixture.hpp"
#include "fakes/raw_endpoint.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal::forward {
namespace {

using fakes::raw_endpoint;
using fakes::raw_response;

constexpr absl::Duration max_wait = absl::Seconds(30);
const std::string sound_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A node and endpoints that misbehave on their connections.
class endpoint_faults_test : public fakes::node_fixture
{
protected:
    void start_with(int endpoint_count, const raw_endpoint::handler& respond,
                    const char* tenants = R"([{"name":"w","api_keys":["key"]}])")
    {
        publish_config(1, tenants);
        for (int i = 0; i < endpoint_count; ++i) {
            m_endpoints.push_back(std::make_unique<raw_endpoint>(respond));
            publish_endpoint(m_endpoints.back()->listen_address(), "ready",
                             absl::StrCat("e", i).c_str());
        }
        start();
        ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    }

    int request_count() const
    {
        int count = 0;
        for (const auto& endpoint : m_endpoints)
            count += endpoint->request_count();
        return count;
    }

    std::vector<std::unique_ptr<raw_endpoint>> m_endpoints;
};

class foreign_status_test : public endpoint_faults_test,
                            public ::testing::WithParamInterface<const char*>
{};

// Guards against a status that isn't HTTP reaching callers, who can't tell whether the request was
// executed, and against a second execution of a request that may not be repeated.
TEST_P(foreign_status_test, is_a_bad_gateway)
{
    start_with(2, [](const std::string&) {
        return raw_response{
            .bytes = absl::StrCat("HTTP/1.1 ", GetParam(), " X\r\nContent-Length: 2\r\n\r\nok")};
    });
    const auto answer = post("/app/x");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 502);
    EXPECT_EQ(request_count(), 1);
}

INSTANTIATE_TEST_SUITE_P(endpoint_faults_test, foreign_status_test,
                         ::testing::Values("000", "001", "099", "600", "999"),
                         [](const auto& instance) { return std::string(instance.param); });

// Guards against a prompt part that takes down one endpoint after the other, and against refusing
// the prompts that share their other parts with it.
TEST_F(endpoint_faults_test, stops_sending_prompts_that_crash_endpoints)
{
    start_with(6, [](const std::string& request) {
        if (request.find("deadly:") != std::string::npos)
            return raw_response{.bytes = "", .then = raw_response::next::crash};
        return raw_response{.bytes = sound_response};
    });
    int sent = 0;
    const auto post_deadly = [&] {
        return post("/app/x", "key", absl::StrCat("common:9,subject:9,deadly:9,own", ++sent, ":9"));
    };
    EXPECT_TRUE(fakes::eventually(max_wait, [&] {
        const int count_before = request_count();
        const auto answer = post_deadly();
        EXPECT_EQ(answer->status, request_count() > count_before ? 502 : 503);
        EXPECT_EQ(answer->has_header("Retry-After"), answer->status == 503);
        return request_count() == 3;
    }));
    for (int i = 0; i < 3; ++i) {
        const auto answer = post_deadly();
        EXPECT_EQ(answer->status, 503);
        EXPECT_GT(std::stod(answer->get_header_value("Retry-After")), 60);
        absl::SleepFor(absl::Seconds(1));
    }
    EXPECT_EQ(request_count(), 3);
    EXPECT_EQ(post("/app/x", "key", "common:9,subject:9,own:9")->status, 200);
}

// Guards against losing most endpoints to prompts that arrive faster than crashes are counted.
TEST_F(endpoint_faults_test, loses_few_endpoints_to_a_wave_of_prompts_that_crash_them)
{
    start_with(10, [](const std::string& /*request*/) {
        return raw_response{.bytes = "", .then = raw_response::next::crash};
    });
    for (int i = 0; i < 100; ++i) {
        ASSERT_TRUE(post("/app/x", "key", absl::StrCat("deadly:9,own", i, ":9")));
        absl::SleepFor(absl::Milliseconds(30));
    }
    EXPECT_LE(request_count(), 4);
}

// Guards against requests to an endpoint that asked for a pause, and against callers that wait for
// their deadline or return too early.
TEST_F(endpoint_faults_test, refuses_requests_while_the_only_endpoint_asks_for_a_pause)
{
    start_with(1, [](const std::string& /*request*/) {
        return raw_response{.bytes = "HTTP/1.1 503 Full\r\nChivedeal-Not-Run: 1\r\n"
                                     "Retry-After: 2.5\r\nContent-Length: 0\r\n\r\n"};
    });
    for (int i = 0; i < 4; ++i) {
        const auto answer = post("/app/x");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 503);
        EXPECT_GE(std::stod(answer->get_header_value("Retry-After")), 2);
        EXPECT_LE(std::stod(answer->get_header_value("Retry-After")), 3.6);
    }
    EXPECT_EQ(request_count(), 1);
}

// Guards against losing responses, or the node, to an endpoint that reports its load in a malformed
// header.
TEST_F(endpoint_faults_test, answers_whatever_load_its_endpoints_report)
{
    const std::vector<std::string> loads{"",         "1,2",          "a,b,c",
                                         "-1,-2,-3", "1,2,3,4,5",    "99999999999999999999,1,1",
                                         "9,0,4",    "0,0,4,999999", std::string(4000, ',')};
    std::atomic<std::size_t> sent = 0;
    start_with(1, [&](const std::string& /*request*/) {
        return raw_response{
            .bytes = "HTTP/1.1 200 OK\r\nChivedeal-Load: " + loads[sent++ % loads.size()] +
                     "\r\nContent-Length: 2\r\n\r\nok"};
    });
    for (std::size_t i = 0; i < loads.size(); ++i) {
        const auto answer = post("/app/x");
        ASSERT_TRUE(answer) << loads[i];
        EXPECT_EQ(answer->status, 200) << loads[i];
    }
    EXPECT_EQ(sent, loads.size());
}

// Guards against callers of a less urgent workspace that return first and fill the endpoint.
TEST_F(endpoint_faults_test, lets_more_urgent_workspaces_return_first_after_a_pause)
{
    start_with(
        1,
        [](const std::string& /*request*/) {
            return raw_response{.bytes = "HTTP/1.1 503 Full\r\nChivedeal-Not-Run: 1\r\n"
                                         "Retry-After: 60\r\nContent-Length: 0\r\n\r\n"};
        },
        R"([{"name":"urgent","api_keys":["key"],"priority":0},)"
        R"({"name":"patient","api_keys":["slow-key"],"priority":9}])");
    const auto urgent = post("/app/x", "key");
    const auto patient = post("/app/x", "slow-key");
    ASSERT_TRUE(urgent);
    ASSERT_TRUE(patient);
    EXPECT_LT(std::stod(urgent->get_header_value("Retry-After")), 60 * 1.4);
    EXPECT_GT(std::stod(patient->get_header_value("Retry-After")), 60 * 1.7);
}

// Guards against passing on a stream as complete that its endpoint broke off: without a length or
// chunks, both end with the connection.
TEST_F(endpoint_faults_test, aborts_a_stream_that_ends_with_its_connection_inside_an_event)
{
    std::string body = "id: 1\ndata: a\n\n";
    start_with(1, [&body](const std::string& /*request*/) {
        return raw_response{.bytes = "HTTP/1.1 200 OK\r\n\r\n" + body,
                            .then = raw_response::next::close};
    });
    const auto whole = post("/stream/x");
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole->body, body);
    body += "id: 2\ndata";
    EXPECT_FALSE(post("/stream/x"));
    body.clear();
    EXPECT_FALSE(post("/stream/x"));
}

// Guards against failing the responses of sound endpoints because another endpoint's responses,
// which don't end, take all the memory for responses.
TEST_F(endpoint_faults_test, delivers_responses_while_another_endpoint_fills_the_buffers)
{
    constexpr int unfinished_count = 16;
    constexpr std::size_t unfinished_bytes = 4'000'000;
    constexpr std::size_t sound_bytes = 3'500'000;
    m_topics->put(topic::configuration, "config",
                  R"({"version":1,"routes":[{"name":"app","host":"h","path_prefix":"/app/",)"
                  R"("kind":"unsafe","timeout_ms":5000,"goal_ms":200,"attempts":1,"service":"s"},)"
                  R"({"name":"bad","host":"h","path_prefix":"/bad/","kind":"unsafe",)"
                  R"("timeout_ms":5000,"goal_ms":200,"attempts":1,"service":"bad"}],)"
                  R"("services":[{"name":"s","max_conns":40},{"name":"bad","max_conns":40}],)"
                  R"("tenants":[{"name":"w","api_keys":["key"]}]})");
    const raw_endpoint faulty([](const std::string& /*request*/) {
        return raw_response{
            .bytes = absl::StrCat("HTTP/1.1 200 OK\r\n\r\n", std::string(unfinished_bytes, 'x')),
            .then = raw_response::next::go_silent};
    });
    const raw_endpoint sound([](const std::string& /*request*/) {
        return raw_response{.bytes =
                                absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", sound_bytes,
                                             "\r\n\r\n", std::string(sound_bytes, 's'))};
    });
    publish_endpoint(sound.listen_address(), "ready", "e1");
    m_topics->put(topic::endpoints, "e2",
                  absl::StrCat(R"({"service":"bad","addr":")", to_string(faulty.listen_address()),
                               R"(","zone":"z","version":"v1","slots":64,"state":"ready"})"));
    start();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    std::vector<std::unique_ptr<posix_thread>> callers;
    for (int i = 0; i < unfinished_count; ++i)
        callers.push_back(std::make_unique<posix_thread>(
            "caller", [this, i] { (void)post("/bad/x", "key", "", absl::StrCat("bad-", i)); }));
    ASSERT_TRUE(fakes::eventually(
        max_wait, [&faulty] { return faulty.request_count() == unfinished_count; }));
    absl::SleepFor(absl::Seconds(1));
    const auto answer = post("/app/x", "key", "", "sound");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body.size(), sound_bytes);
}

struct endless_response
{
    const char* name;
    std::string begin;
    std::string filler;
    const char* path = "/app/x";
    /// Status of the response to the caller, or 0 if it has to end incomplete.
    int expected_status = 502;
};

const std::vector<endless_response> endless_responses{
    {"head", "HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
    {"header_line", "HTTP/1.1 200 OK\r\nField: ", "value"},
    {"status_line", "HTTP/1.1 200 ", "OK"},
    {"interim_responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"body", "HTTP/1.1 200 OK\r\n\r\n", "value"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nvalue\r\n"},
    {"chunk_extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", "value"},
    {"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n"},
    {"response_to_another_request", "HTTP/1.1 200 OK\r\nChivedeal-Request-Id: other\r\n\r\n",
     "value"},
    {"responses_to_other_requests", "",
     "HTTP/1.1 200 OK\r\nChivedeal-Request-Id: other\r\nContent-Length: 0\r\n\r\n"},
    {"huge_length", "HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n", "value"},
    {"head_of_a_stream", "HTTP/1.1 200 OK\r\n", "Field: value\r\n", "/stream/x"},
    {"header_line_of_a_stream", "HTTP/1.1 200 OK\r\nField: ", "value", "/stream/x"},
    {"error_to_a_stream", "HTTP/1.1 500 Error\r\n\r\n", "value", "/stream/x"},
    {"chunk_extension_of_a_stream",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", "value", "/stream/x", 0},
    {"trailer_of_a_stream", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
     "Field: value\r\n", "/stream/x", 0},
};

class endless_response_test : public endpoint_faults_test,
                              public ::testing::WithParamInterface<endless_response>
{};

// Guards against a node that runs out of memory, or serves nobody else, while an endpoint sends
// bytes without end.
TEST_P(endless_response_test, fails_the_request_at_once)
{
    start_with(1, [](const std::string& /*request*/) {
        return raw_response{.bytes = GetParam().begin,
                            .then = raw_response::next::send_forever,
                            .filler = GetParam().filler};
    });
    const absl::Time sent = absl::Now();
    const auto answer = post(GetParam().path);
    EXPECT_EQ(answer ? answer->status : 0, GetParam().expected_status);
    EXPECT_LT(absl::Now() - sent, absl::Seconds(3));
    EXPECT_TRUE(is_ready());
}

INSTANTIATE_TEST_SUITE_P(endpoint_faults_test, endless_response_test,
                         ::testing::ValuesIn(endless_responses),
                         [](const auto& instance) { return std::string(instance.param.name); });

} // namespace
} // namespace chivedeal::forward
