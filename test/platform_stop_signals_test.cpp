// Stop signals to a node that runs as a process.
#include "fakes/eventually.hpp"
#include "fakes/raw_caller.hpp"
#include "fakes/raw_endpoint.hpp"
#include "test/platform_soak/soak_node.hpp"
#include "test/platform_soak/soak_store.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <csignal>
#include <cstddef>
#include <cstring>
#include <string>
#include <vector>

namespace chivedeal::platform {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(60);
constexpr int events_per_stream = 150;

fakes::raw_response begin_stream(const std::string& request)
{
    const std::string id_name = "\r\nRequest-Id: ";
    const std::size_t id_begin = request.find(id_name) + id_name.size();
    const std::string id = request.substr(id_begin, request.find("\r\n", id_begin) - id_begin);
    return {.bytes = absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ", id,
                                  "\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"),
            .then = fakes::raw_response::next::send_events,
            .filler = "9\r\ndata: a\n\n\r\n",
            .repetitions = events_per_stream,
            .last = "0\r\n\r\n"};
}

/// A node that passes on a stream of some seconds when it gets the first signal.
class stop_signals_test : public ::testing::TestWithParam<std::vector<int>>
{
protected:
    void SetUp() override
    {
        m_store.put("keyed.op", "config",
                    R"({"version":1,"routes":[{"name":"chat","host":"h","path_prefix":"/chat/",)"
                    R"("kind":"streaming","timeout_ms":30000,"goal_ms":500,"attempts":1,)"
                    R"("service":"llm"}],"services":[{"name":"llm","max_conns":100}],)"
                    R"("tenants":[{"name":"w","api_keys":["key"]}]})");
        m_store.put("keyed.servers", "e1",
                    absl::StrCat(R"({"service":"llm","addr":")",
                                 to_string(m_endpoint.listen_address()),
                                 R"(","zone":"z1","version":"v1","slots":64,"state":"ready"})"));
        m_node.write_settings({m_node.control()});
        m_node.start();
        ASSERT_TRUE(fakes::eventually(max_wait, [this] { return m_node.is_ready(); }));
    }

    soak::soak_store m_store{1};
    fakes::raw_endpoint m_endpoint{begin_stream};
    soak::soak_node m_node{{.name = absl::StrCat("stop_signals_", getpid()),
                            .program = CHIVEDEAL_PROGRAM,
                            .directory = ::testing::TempDir(),
                            .store = m_store.listen_address()}};
};

// Guards against cutting off running streams because a stop signal is repeated.
TEST_P(stop_signals_test, do_not_cut_off_running_streams)
{
    fakes::raw_caller caller(m_node.front(), max_wait);
    ASSERT_TRUE(caller.send("POST /chat/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                            "Deadline-Ms: 30000\r\nAuthorization: Bearer key\r\n"
                            "Content-Length: 0\r\n\r\n"));
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return m_endpoint.request_count() == 1; }));
    for (const int number : GetParam()) {
        m_node.signal(number);
        absl::SleepFor(absl::Milliseconds(200));
    }
    ASSERT_EQ(m_endpoint.sent_stream_count(), 0) << "the stream ended before the last signal";
    const std::string response = caller.receive_all();
    EXPECT_TRUE(absl::EndsWith(response, "\r\n0\r\n\r\n")) << response.size() << " bytes";
    EXPECT_TRUE(fakes::eventually(max_wait, [this] { return m_node.ended(); }));
    EXPECT_EQ(m_node.exit_status(), 0);
}

std::string series_name(const ::testing::TestParamInfo<std::vector<int>>& info)
{
    return absl::StrJoin(info.param, "_", [](std::string* out, int number) {
        absl::StrAppend(out, sigabbrev_np(number));
    });
}

INSTANTIATE_TEST_SUITE_P(series, stop_signals_test,
                         ::testing::Values(std::vector<int>{SIGTERM},
                                           std::vector<int>{SIGTERM, SIGTERM},
                                           std::vector<int>{SIGTERM, SIGINT},
                                           std::vector<int>{SIGINT, SIGTERM},
                                           std::vector<int>{SIGHUP, SIGTERM, SIGHUP, SIGTERM}),
                         series_name);

} // namespace
} // namespace chivedeal::platform
