// Callers that exceed the limits, at a node that runs as a process with a small instance.
#include "fakes/caller_crowd.hpp"
#include "test/guard_process_fixture.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>

namespace chivedeal::platform {
namespace {

constexpr std::size_t max_body_bytes = 4 * 1024 * 1024;

class guard_process_test : public guard_process_fixture
{};

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
    observe_for(absl::Seconds(5));
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
