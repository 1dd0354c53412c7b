#ifndef TEST_GUARD_PROCESS_FIXTURE_HPP
#define TEST_GUARD_PROCESS_FIXTURE_HPP

#include "fakes/caller_crowd.hpp"
#include "fakes/eventually.hpp"
#include "fakes/raw_caller.hpp"
#include "fakes/raw_endpoint.hpp"
#include "test/platform_soak/soak_node.hpp"
#include "test/platform_soak/soak_store.hpp"
#include "test/process_usage.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <cstddef>
#include <iostream>
#include <string>

namespace chivedeal::platform {

/// A node that runs as a process with the limits of a small instance, before one endpoint.
class guard_process_fixture : public ::testing::Test
{
protected:
    /// Limits in the settings of the node, and so the bounds.
    struct instance
    {
        int memory_mb = 64;
        int max_descriptors = 500;
        /// Of the endpoint.
        int slots = 64;
    };

    static constexpr absl::Duration max_wait = absl::Seconds(60);
    // The node takes nothing more from a caller whose connection it doesn't read.
    static constexpr absl::Duration max_stall = absl::Seconds(2);
    static constexpr std::size_t large_response_bytes = 400'000;
    // Fits into the kernel's buffers of a connection.
    static constexpr std::size_t medium_response_bytes = 95'000;
    // The sanitizers' own memory is several times that of the program.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    static constexpr bool memory_is_comparable = false;
#else
    static constexpr bool memory_is_comparable = true;
#endif

    guard_process_fixture() : guard_process_fixture(instance{}) {}

    explicit guard_process_fixture(const instance& limits)
        : m_limits(limits),
          m_node({.name = absl::StrCat("guard_", getpid()),
                  .program = CHIVEDEAL_PROGRAM,
                  .directory = ::testing::TempDir(),
                  .store = m_store.listen_address(),
                  .memory_mb = limits.memory_mb,
                  .max_descriptors = limits.max_descriptors})
    {}

    void SetUp() override
    {
        m_store.put("keyed.op", "config",
                    absl::StrCat(R"({"version":1,"routes":[{"name":"app","host":"h",)"
                                 R"("path_prefix":"/app/","kind":"idempotent","timeout_ms":30000,)"
                                 R"("goal_ms":30000,"attempts":1,"service":"app"}],)"
                                 R"("services":[{"name":"app","max_conns":)",
                                 m_limits.slots + 36,
                                 R"(}],"tenants":[{"name":"w","api_keys":["key"]}]})"));
        m_store.put("keyed.servers", "e1",
                    absl::StrCat(R"({"service":"app","addr":")",
                                 to_string(m_endpoint.listen_address()),
                                 R"(","zone":"z1","version":"v1","slots":)", m_limits.slots,
                                 R"(,"state":"ready"})"));
        m_node.write_settings({m_node.control()});
        m_node.start();
        ASSERT_TRUE(fakes::eventually(max_wait, [this] { return m_node.is_ready(); }));
        ASSERT_TRUE(answers_ordinary_request()) << "before the load";
    }

    static std::string head(const std::string& path, const std::string& id, const std::string& key,
                            const std::string& fields)
    {
        return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: h\r\nRequest-Id: ", id,
                            "\r\nAuthorization: Bearer ", key, "\r\n", fields, "\r\n");
    }

    void run_crowd(fakes::caller_crowd& crowd)
    {
        crowd.send_all(max_stall, [this] { observe(); });
    }

    void observe() { m_usage.observe(m_node.pid(), {m_node.front().port}); }

    /// For effects that follow after everything has been sent.
    void observe_for(absl::Duration time)
    {
        const absl::Time end = absl::Now() + time;
        while (absl::Now() < end) {
            observe();
            absl::SleepFor(absl::Milliseconds(50));
        }
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
            EXPECT_LE(m_usage.memory_kb(), m_limits.memory_mb * 1024);
        }
        EXPECT_LE(m_usage.descriptors(), m_limits.max_descriptors);
        std::cout << "peak memory " << m_usage.memory_kb() << " KB, with the kernel's buffers "
                  << m_usage.total_kb() << " KB, peak descriptors " << m_usage.descriptors()
                  << "\n";
    }

    instance m_limits;
    soak::soak_store m_store{1};
    fakes::raw_endpoint m_endpoint{respond};
    soak::soak_node m_node;
    test::process_usage m_usage;

private:
    static fakes::raw_response respond(const std::string& request)
    {
        if (absl::StrContains(request, "/app/silent"))
            return {.then = fakes::raw_response::next::go_silent};
        const std::string id_name = "\r\nRequest-Id: ";
        const std::size_t id_begin = request.find(id_name) + id_name.size();
        const std::string id = request.substr(id_begin, request.find("\r\n", id_begin) - id_begin);
        std::size_t bytes = 2;
        if (absl::StrContains(request, "/app/large"))
            bytes = large_response_bytes;
        else if (absl::StrContains(request, "/app/medium"))
            bytes = medium_response_bytes;
        return {.bytes =
                    absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ", id, "\r\nServer-Stamp: s\r\n",
                                 "Content-Length: ", bytes, "\r\n\r\n", std::string(bytes, 'x'))};
    }
};

} // namespace chivedeal::platform

#endif
