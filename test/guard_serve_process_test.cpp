// Callers that exceed the limits, at `chivedeal serve` as a process with a small instance.
#include "chivedeal/core/posix_thread.hpp"
#include "fakes/caller_crowd.hpp"
#include "fakes/eventually.hpp"
#include "fakes/free_address.hpp"
#include "fakes/raw_caller.hpp"
#include "test/process_usage.hpp"
#include "test/scenario_runner/process.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <atomic>
#include <cstddef>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(60);
constexpr absl::Duration max_stall = absl::Seconds(2);
// The limits in the settings, and so the bounds.
constexpr int memory_mb = 120;
constexpr int max_descriptors = 500;
constexpr std::size_t max_body_bytes = 4 * 1024 * 1024;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool memory_is_comparable = false;
#else
constexpr bool memory_is_comparable = true;
#endif

std::string head(const std::string& fields)
{
    return absl::StrCat("POST /v1/services/catalogue/requests HTTP/1.1\r\nHost: h\r\n"
                        "Chivedeal-Workspace: judges\r\n",
                        fields, "\r\n");
}

std::string request(const std::string& body)
{
    return absl::StrCat(
        head(absl::StrCat("Content-Length: ", body.size(), "\r\nConnection: close\r\n")), body);
}

class guard_process_serve_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_platform = start("platform", {CHIVEDEAL_PLATFORM_PROGRAM, "--port",
                                        absl::StrCat(m_platform_address.port)});
        m_node = start("serve", {CHIVEDEAL_PROGRAM, "serve", "--node", "n1", "--region", "r1",
                                 "--zone", "z1", "--http", to_string(m_http), "--rpc",
                                 to_string(m_rpc), "--platform", to_string(m_platform_address),
                                 "--max-streams", "100", "--endpoint-workers", "50"});
        ASSERT_TRUE(fakes::eventually(max_wait, [this] { return applies_declarations(); }));
        m_engine =
            start("engine", {CHIVEDEAL_ENGINE_PROGRAM, "--id", "e1", "--port",
                             absl::StrCat(m_engine_address.port), "--platform",
                             to_string(m_platform_address), "--region", "r1", "--zone", "z1",
                             "--service", "catalogue", "--version", "v1", "--token-ms", "1"});
        ASSERT_TRUE(answers_ordinary_request()) << "before the load";
    }

    std::unique_ptr<scenario::process> start(const std::string& name,
                                             std::vector<std::string> command)
    {
        return std::make_unique<scenario::process>(scenario::process::options{
            .command = std::move(command),
            .environment = {absl::StrCat("CHIVEDEAL_MEMORY_MB=", memory_mb),
                            absl::StrCat("CHIVEDEAL_MAX_DESCRIPTORS=", max_descriptors),
                            "CHIVEDEAL_TEAM_KEYS=hall=hall-key-0123456789",
                            absl::StrCat("CHIVEDEAL_NODES=", to_string(m_http))},
            .output_file =
                absl::StrCat(::testing::TempDir(), "/guard_", name, "_", getpid(), ".log")});
    }

    bool applies_declarations()
    {
        const auto apply =
            start("apply", {CHIVEDEAL_PROGRAM, "apply", CHIVEDEAL_SOURCE_DIR "/demo/declarations"});
        return fakes::eventually(max_wait, [&apply] { return apply->ended(); }) &&
               apply->exit_status() == 0;
    }

    // A caller inside the limits tries again when its connection is closed or refused.
    bool answers_ordinary_request()
    {
        return fakes::eventually(
                   max_wait,
                   [this] {
                       if (m_node->ended())
                           return true;
                       fakes::raw_caller caller(m_http, absl::Seconds(5));
                       return caller.send(request(R"({"prompt":"oak bowl","max_tokens":2})")) &&
                              absl::StrContains(caller.receive_all(), R"({"outcome":"answered"})");
                   }) &&
               !m_node->ended();
    }

    void observe() { m_usage.observe(m_node->pid(), {m_http.port}); }

    void run_crowd(fakes::caller_crowd& crowd)
    {
        crowd.send_all(max_stall, [this] { observe(); });
    }

    void check()
    {
        observe();
        EXPECT_TRUE(answers_ordinary_request());
        observe();
        EXPECT_FALSE(m_node->ended()) << "status " << m_node->exit_status();
        if (memory_is_comparable) {
            EXPECT_LE(m_usage.memory_kb(), memory_mb * 1024);
        }
        EXPECT_LE(m_usage.descriptors(), max_descriptors);
        std::cout << "peak memory " << m_usage.memory_kb() << " KB, peak descriptors "
                  << m_usage.descriptors() << ", peak threads " << m_usage.threads() << "\n";
    }

    const address m_platform_address = fakes::free_address();
    const address m_http = fakes::free_address();
    const address m_rpc = fakes::free_address();
    const address m_engine_address = fakes::free_address();
    std::unique_ptr<scenario::process> m_platform;
    std::unique_ptr<scenario::process> m_engine;
    std::unique_ptr<scenario::process> m_node;
    test::process_usage m_usage;
};

// Guards against callers that send their heads a byte at a time and keep out the others.
TEST_F(guard_process_serve_test, answers_others_beside_slow_heads)
{
    constexpr int callers = 200;
    fakes::caller_crowd crowd(m_http);
    for (int i = 0; i < callers; ++i)
        crowd.add("GET /v1/status HTTP/1.1\r\nHost: h\r\nField: ", "x", 10'000);
    std::atomic<bool> stopping = false;
    posix_thread sender("crowd", [&] {
        while (!stopping) {
            crowd.send_turn();
            absl::SleepFor(absl::Milliseconds(500));
        }
    });
    absl::SleepFor(absl::Seconds(1));
    check();
    stopping = true;
}

// Guards against a process that is ended for its memory because many callers hold bodies of just
// under the limit.
TEST_F(guard_process_serve_test, survives_large_bodies)
{
    constexpr int callers = 72;
    const std::string filler(64 * 1024 - 8, 'x');
    fakes::caller_crowd crowd(m_http);
    for (int i = 0; i < callers; ++i)
        crowd.add(head(absl::StrCat("Content-Length: ", max_body_bytes, "\r\n")), filler,
                  max_body_bytes);
    run_crowd(crowd);
    check();
}

// Guards against a process that is ended for its memory because the values in a body take many times
// its bytes.
TEST_F(guard_process_serve_test, survives_bodies_of_many_values)
{
    constexpr int callers = 8;
    std::string body = R"({"prompt":"oak","max_tokens":1,"values":[{})";
    while (body.size() < max_body_bytes - 10)
        body += ",{}";
    body += "]}";
    fakes::caller_crowd crowd(m_http);
    for (int i = 0; i < callers; ++i)
        crowd.add(head(absl::StrCat("Content-Length: ", body.size(), "\r\n")) + body);
    run_crowd(crowd);
    for (int i = 0; i < 60; ++i) {
        observe();
        absl::SleepFor(absl::Milliseconds(50));
    }
    check();
}

// Guards against a budget that a single request inside the limits exceeds on a small instance.
TEST_F(guard_process_serve_test, serves_a_request_of_the_largest_size)
{
    const std::string begin = R"({"prompt":"oak","max_tokens":1,"notes":")";
    const std::string end = R"("})";
    fakes::raw_caller caller(m_http, max_wait);
    ASSERT_TRUE(caller.send(
        request(begin + std::string(max_body_bytes - begin.size() - end.size(), 'x') + end)));
    const std::string response = caller.receive_all();
    EXPECT_TRUE(absl::StrContains(response, R"({"outcome":"answered"})"))
        << response.substr(0, 1000);
    check();
}

// Guards against a process that runs out of descriptors because very many callers connect, part of
// which leave early.
TEST_F(guard_process_serve_test, survives_many_connections)
{
    constexpr int callers = 900;
    fakes::caller_crowd crowd(m_http);
    for (int i = 0; i < callers; ++i)
        crowd.add(i % 2 == 0 ? "GET /v1/status HTTP/1.1\r\nHost: h\r\nField: x"
                             : "GET /v1/status HTTP/1.1\r\nHost: h\r\n\r\n");
    run_crowd(crowd);
    crowd.leave(3);
    check();
}

// Guards against responses that pile up because callers pipeline requests and don't read.
TEST_F(guard_process_serve_test, survives_pipelined_requests)
{
    constexpr int callers = 60;
    constexpr int requests_per_caller = 2000;
    std::string requests;
    for (int i = 0; i < requests_per_caller; ++i)
        requests += "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
    fakes::caller_crowd crowd(m_http);
    for (int i = 0; i < callers; ++i)
        crowd.add(requests);
    run_crowd(crowd);
    check();
}

} // namespace
} // namespace chivedeal
