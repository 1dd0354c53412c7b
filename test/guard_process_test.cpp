// Callers that exceed the limits, at a node that runs as a process with a small instance.
#include "fakes/caller_crowd.hpp"
#include "fakes/eventually.hpp"
#include "fakes/raw_caller.hpp"
#include "fakes/raw_endpoint.hpp"
#include "test/platform_soak/soak_node.hpp"
#include "test/platform_soak/soak_store.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <system_error>

namespace chivedeal::platform {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(60);
// The node takes nothing more from a caller whose connection it doesn't read.
constexpr absl::Duration max_stall = absl::Seconds(2);
// The limits in the settings, and so the bounds.
constexpr int memory_mb = 64;
constexpr int max_descriptors = 500;
constexpr std::size_t large_response_bytes = 400'000;
constexpr std::size_t max_body_bytes = 4 * 1024 * 1024;

// The sanitizers' own memory is several times that of the program.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool memory_is_comparable = false;
#else
constexpr bool memory_is_comparable = true;
#endif

fakes::raw_response respond(const std::string& request)
{
    if (absl::StrContains(request, "/app/silent"))
        return {.then = fakes::raw_response::next::go_silent};
    const std::string id_name = "\r\nRequest-Id: ";
    const std::size_t id_begin = request.find(id_name) + id_name.size();
    const std::string id = request.substr(id_begin, request.find("\r\n", id_begin) - id_begin);
    const std::size_t bytes = absl::StrContains(request, "/app/large") ? large_response_bytes : 2;
    return {.bytes = absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ", id, "\r\nServer-Stamp: s\r\n",
                                  "Content-Length: ", bytes, "\r\n\r\n", std::string(bytes, 'x'))};
}

std::string head(const std::string& path, const std::string& id, const std::string& key,
                 const std::string& fields)
{
    return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: h\r\nRequest-Id: ", id,
                        "\r\nAuthorization: Bearer ", key, "\r\n", fields, "\r\n");
}

class guard_process_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_store.put("keyed.op", "config",
                    R"({"version":1,"routes":[{"name":"app","host":"h","path_prefix":"/app/",)"
                    R"("kind":"idempotent","timeout_ms":30000,"goal_ms":30000,"attempts":1,)"
                    R"("service":"app"}],"services":[{"name":"app","max_conns":100}],)"
                    R"("tenants":[{"name":"w","api_keys":["key"]}]})");
        m_store.put("keyed.servers", "e1",
                    absl::StrCat(R"({"service":"app","addr":")",
                                 to_string(m_endpoint.listen_address()),
                                 R"(","zone":"z1","version":"v1","slots":64,"state":"ready"})"));
        m_node.write_settings({m_node.control()});
        m_node.start();
        ASSERT_TRUE(fakes::eventually(max_wait, [this] { return m_node.is_ready(); }));
        ASSERT_TRUE(answers_ordinary_request()) << "before the load";
    }

    void run_crowd(fakes::caller_crowd& crowd)
    {
        crowd.send_all(max_stall, [this] { observe(); });
    }

    void observe()
    {
        std::error_code ignored;
        const std::filesystem::directory_iterator entries(
            absl::StrCat("/proc/", m_node.pid(), "/fd"), ignored);
        m_peak_descriptors =
            std::max(m_peak_descriptors, std::distance(begin(entries), end(entries)));
        std::ifstream status(absl::StrCat("/proc/", m_node.pid(), "/status"));
        for (std::string line; std::getline(status, line);)
            if (absl::StartsWith(line, "VmHWM:"))
                m_peak_memory_kb = std::max(m_peak_memory_kb, std::stol(line.substr(6)));
    }

    // A caller inside the limits tries again when its connection is closed or refused.
    bool answers_ordinary_request()
    {
        return fakes::eventually(max_wait,
                                 [this] {
                                     if (m_node.ended())
                                         return true;
                                     fakes::raw_caller caller(m_node.front(), max_wait);
                                     return caller.send(
                                                head("/app/small", "ordinary", "key",
                                                     "Content-Length: 2\r\nConnection: close\r\n") +
                                                "ab") &&
                                            absl::StartsWith(caller.receive_all(), "HTTP/1.1 200 ");
                                 }) &&
               !m_node.ended();
    }

    void check()
    {
        observe();
        EXPECT_TRUE(answers_ordinary_request());
        observe();
        EXPECT_FALSE(m_node.ended()) << "status " << m_node.exit_status();
        if (memory_is_comparable) {
            EXPECT_LE(m_peak_memory_kb, memory_mb * 1024);
        }
        EXPECT_LE(m_peak_descriptors, max_descriptors);
        std::cout << "peak memory " << m_peak_memory_kb << " KB, peak descriptors "
                  << m_peak_descriptors << "\n";
    }

    soak::soak_store m_store{1};
    fakes::raw_endpoint m_endpoint{respond};
    soak::soak_node m_node{{.name = absl::StrCat("guard_", getpid()),
                            .program = CHIVEDEAL_PROGRAM,
                            .directory = ::testing::TempDir(),
                            .store = m_store.listen_address(),
                            .memory_mb = memory_mb,
                            .max_descriptors = max_descriptors}};
    long m_peak_memory_kb = 0;
    std::ptrdiff_t m_peak_descriptors = 0;
};

// Guards against a process that is ended for its memory because callers send bodies far over the
// limit, announced or just sent, or hold many bodies of just under the limit.
TEST_F(guard_process_test, survives_large_bodies)
{
    constexpr int callers_per_kind = 24;
    const std::string filler(64 * 1024 - 8, 'x');
    const std::string chunk = absl::StrCat(absl::Hex(filler.size()), "\r\n", filler, "\r\n");
    fakes::caller_crowd crowd(m_node.front());
    for (int i = 0; i < callers_per_kind; ++i) {
        crowd.add(head("/app/small", absl::StrCat("announced", i), "key",
                       "Content-Length: 1073741824\r\n"),
                  filler, 6'000'000);
        crowd.add(
            head("/app/small", absl::StrCat("sent", i), "key", "Transfer-Encoding: chunked\r\n"),
            chunk, 15'000'000);
        crowd.add(head("/app/small", absl::StrCat("held", i), "key",
                       absl::StrCat("Content-Length: ", max_body_bytes, "\r\n")),
                  filler, max_body_bytes);
    }
    run_crowd(crowd);
    check();
}

// Guards against a process that is ended for its memory, or by an overflow of its stack, because
// callers pipeline many requests and leave the responses unread.
TEST_F(guard_process_test, survives_pipelined_requests)
{
    constexpr int callers = 16;
    constexpr int requests_per_caller = 40;
    constexpr int callers_with_new_keys = 4;
    constexpr int refused_requests_per_caller = 900;
    const std::string padding(2000, 'p');
    fakes::caller_crowd crowd(m_node.front());
    for (int i = 0; i < callers; ++i) {
        std::string requests;
        for (int j = 0; j < requests_per_caller; ++j)
            requests += head("/app/large", absl::StrCat("large", i, ".", j), "key",
                             absl::StrCat("Padding: ", padding, "\r\nContent-Length: 0\r\n"));
        crowd.add(requests);
    }
    for (int i = 0; i < callers_with_new_keys; ++i) {
        // The others wait until the first one times out.
        std::string requests = head("/app/silent", absl::StrCat("silent", i), "key",
                                    "Deadline-Ms: 1000\r\nContent-Length: 0\r\n");
        for (int j = 0; j < refused_requests_per_caller; ++j)
            absl::StrAppend(&requests, "GET /app/ HTTP/1.1\r\nHost: h\r\nRequest-Id: ", j,
                            "\r\nAuthorization: Bearer k", j, "\r\n\r\n");
        crowd.add(requests);
    }
    run_crowd(crowd);
    // The responses pile up after the requests have been sent.
    for (int i = 0; i < 100; ++i) {
        observe();
        absl::SleepFor(absl::Milliseconds(50));
    }
    check();
}

// Guards against a process that runs out of descriptors or memory because very many callers connect
// and begin a request, and part of them leave early.
TEST_F(guard_process_test, survives_many_connections)
{
    constexpr int callers = 1200;
    const std::string part_of_body(120'000, 'x');
    fakes::caller_crowd crowd(m_node.front());
    for (int i = 0; i < callers; ++i) {
        if (i % 4 == 0)
            crowd.add(absl::StrCat("POST /app/small HTTP/1.1\r\nHost: h\r\nField: ",
                                   part_of_body.substr(0, 8000)));
        else
            crowd.add(
                head("/app/small", absl::StrCat("part", i), "key", "Content-Length: 200000\r\n"),
                part_of_body, part_of_body.size());
    }
    run_crowd(crowd);
    crowd.leave(3);
    check();
}

} // namespace
} // namespace chivedeal::platform
