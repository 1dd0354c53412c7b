// Endpoints that repeat a refusal while they run the next request on the same connection.
#include "fakes/eventually.hpp"
#include "fakes/node_fixture.hpp"
#include "fakes/raw_endpoint.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal::forward {
namespace {

using fakes::raw_endpoint;
using fakes::raw_response;

constexpr absl::Duration max_wait = absl::Seconds(30);
const std::string refusal_line = "HTTP/1.1 503 Full\r\nChivedeal-Not-Run: 1\r\n";
const std::string earlier_id = "Chivedeal-Request-Id: id-1\r\n";
const std::string no_body = "Content-Length: 0\r\n\r\n";

struct repeated_refusal
{
    const char* name;
    /// Sent before and after the answer to the second request.
    std::string before;
    std::string after;
    /// Whether the answer can be told from the refusal.
    bool delivers_answer;
};

const std::vector<repeated_refusal> repeated_refusals{
    {"with_its_id", refusal_line + earlier_id + no_body, "", true},
    {"without_id", refusal_line + no_body, "", false},
    {"wrong_endpoint_without_id", "HTTP/1.1 421 Misdirected\r\n" + no_body, "", false},
    {"twice", refusal_line + earlier_id + no_body + refusal_line + no_body, "", false},
    {"after_an_interim_response", "HTTP/1.1 100 Continue\r\n\r\n" + refusal_line + no_body, "",
     false},
    {"as_an_interim_response", "HTTP/1.1 103 Hints\r\nChivedeal-Not-Run: 1\r\n\r\n", "", true},
    {"cut_inside_the_status_line", "HTTP/1.1 421 Misd", "", false},
    {"cut_inside_a_field", refusal_line + "Server: ", "", false},
    {"cut_inside_its_id", refusal_line + "Chivedeal-Request-Id: id-", "", false},
    {"cut_inside_the_body", refusal_line + earlier_id + "Content-Length: 20\r\n\r\nfull", "",
     false},
    {"without_length", refusal_line + earlier_id + "\r\n", "", false},
    {"behind_the_answer", "", refusal_line + no_body, true},
    {"behind_the_answer_in_part", "", "HTTP/1.1 503 Fu", true},
};

class repeated_refusal_test : public fakes::node_fixture,
                              public ::testing::WithParamInterface<repeated_refusal>
{
protected:
    void start_with_two_endpoints(const raw_endpoint::handler& respond)
    {
        m_topics->put(
            topic::configuration, "config",
            R"({"version":1,"routes":[{"name":"app","host":"h","path_prefix":"/app/",)"
            R"("kind":"unsafe","timeout_ms":5000,"goal_ms":200,"attempts":3,"service":"s"}],)"
            R"("services":[{"name":"s","max_conns":20}],)"
            R"("tenants":[{"name":"w","api_keys":["key"]}]})");
        for (const char* id : {"e1", "e2"}) {
            m_endpoints.push_back(std::make_unique<raw_endpoint>(respond));
            publish_endpoint(m_endpoints.back()->listen_address(), "ready", id);
        }
        start();
        ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    }

    std::vector<std::unique_ptr<raw_endpoint>> m_endpoints;
};

// Guards against a second run of a request, and against telling the caller that a request did not
// run, because of a refusal that belongs to the request before.
TEST_P(repeated_refusal_test, is_not_taken_for_the_answer)
{
    std::atomic<int> runs = 0;
    start_with_two_endpoints([&runs](const std::string& request) {
        if (absl::StrContains(request, earlier_id))
            return raw_response{.bytes = refusal_line + earlier_id + no_body};
        ++runs;
        return raw_response{
            .bytes = absl::StrCat(GetParam().before, "HTTP/1.1 200 OK\r\nChivedeal-Request-Id: ",
                                  "id-2\r\nContent-Length: 2\r\n\r\nok", GetParam().after)};
    });
    // Both endpoints refuse, so that each keeps a connection. They are paused for a moment then.
    ASSERT_EQ(post("/app/x", "key", "", "id-1")->status, 503);
    const auto answer = post("/app/x", "key", "", "id-2");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, GetParam().delivers_answer ? 200 : 502);
    EXPECT_EQ(runs, 1);
}

INSTANTIATE_TEST_SUITE_P(endpoint_faults_test, repeated_refusal_test,
                         ::testing::ValuesIn(repeated_refusals),
                         [](const auto& instance) { return std::string(instance.param.name); });

} // namespace
} // namespace chivedeal::forward
