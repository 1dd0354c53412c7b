// Callers that send requests for which a node holds more than their bytes.
#include "fakes/caller_crowd.hpp"
#include "test/guard_process_fixture.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal::platform {
namespace {

std::string repeat(const std::string& text, std::size_t bytes)
{
    std::string repeated;
    while (repeated.size() + text.size() <= bytes)
        repeated += text;
    return repeated;
}

class guard_process_crowds_test : public guard_process_fixture
{};

// Guards against a process that is ended for its memory because callers send heads of very many
// fields, each of which takes many times its bytes, and part of a body.
TEST_F(guard_process_crowds_test, survives_heads_of_many_fields)
{
    constexpr int callers = 400;
    constexpr std::size_t fields_bytes = 15'800;
    constexpr std::size_t part_of_body_bytes = 1000;
    const std::string fields = repeat("a:\r\n", fields_bytes);
    fakes::caller_crowd crowd(m_node.front());
    for (int i = 0; i < callers; ++i)
        crowd.add(head("/app/small", absl::StrCat("fields", i), "key",
                       absl::StrCat(fields, "Content-Length: 200000\r\n")) +
                  std::string(part_of_body_bytes, 'x'));
    run_crowd(crowd);
    check();
}

// Guards against a listener beside that for requests which callers exhaust: connections that are
// idle, send a head slowly, or pipeline requests and leave the responses unread.
TEST_F(guard_process_crowds_test, survives_crowds_at_every_listener)
{
    constexpr int callers_per_kind = 100;
    constexpr int requests_per_caller = 400;
    const std::string request = "GET /v1/resolve?name=h&region=r1 HTTP/1.1\r\nHost: h\r\n\r\n";
    std::string requests;
    for (int i = 0; i < requests_per_caller; ++i)
        requests += request;
    std::vector<std::unique_ptr<fakes::caller_crowd>> crowds;
    for (const address& listener :
         {m_node.ready(), m_node.directory(), m_node.metrics(), m_node.front()}) {
        crowds.push_back(std::make_unique<fakes::caller_crowd>(listener));
        for (int i = 0; i < callers_per_kind; ++i) {
            crowds.back()->add("");
            crowds.back()->add("GET /v1/ready HTTP/1.1\r\nField: x");
            crowds.back()->add(requests);
        }
        run_crowd(*crowds.back());
    }
    check();
    EXPECT_TRUE(fakes::eventually(max_wait, [this] { return m_node.is_ready(); }));
}

class guard_process_many_slots_test : public guard_process_fixture
{
protected:
    guard_process_many_slots_test()
        : guard_process_fixture({.memory_mb = 64, .max_descriptors = 1300, .slots = 1000})
    {}
};

// Guards against a process that is ended for its memory because requests in progress name thousands
// of prompt parts.
TEST_F(guard_process_many_slots_test, survives_prompts_of_many_parts)
{
    constexpr int callers = 400;
    constexpr std::size_t parts_bytes = 15'800;
    const std::string parts = repeat("a:1,", parts_bytes);
    fakes::caller_crowd crowd(m_node.front());
    for (int i = 0; i < callers; ++i)
        crowd.add(head("/app/silent", absl::StrCat("parts", i), "key",
                       absl::StrCat("Prefix-Hash: ", parts, "\r\nContent-Length: 0\r\n")));
    run_crowd(crowd);
    observe_for(absl::Seconds(2));
    check();
}

class guard_process_large_instance_test : public guard_process_fixture
{
protected:
    guard_process_large_instance_test()
        : guard_process_fixture({.memory_mb = 260, .max_descriptors = 4100, .slots = 1000})
    {}
};

// Guards against the memory that the kernel takes for responses that callers don't read, beside
// bodies that the node holds.
TEST_F(guard_process_large_instance_test, survives_unread_responses_in_the_kernel)
{
    // The endpoint takes as many requests at once.
    constexpr int readers_per_turn = 900;
    constexpr int turns = 2;
    constexpr int senders = 60;
    constexpr std::size_t body_bytes = 4 * 1024 * 1024;
    fakes::caller_crowd crowd(m_node.front());
    for (int turn = 0; turn < turns; ++turn) {
        for (int i = 0; i < readers_per_turn; ++i)
            crowd.add(
                head("/app/medium", absl::StrCat(turn, ".", i), "key", "Content-Length: 0\r\n"));
        run_crowd(crowd);
        observe_for(absl::Milliseconds(700));
    }
    fakes::caller_crowd bodies(m_node.front());
    for (int i = 0; i < senders; ++i)
        bodies.add(head("/app/small", absl::StrCat("body", i), "key",
                        absl::StrCat("Content-Length: ", body_bytes, "\r\n")),
                   std::string(64 * 1024, 'x'), body_bytes - 1);
    run_crowd(bodies);
    check();
    if (memory_is_comparable) {
        EXPECT_LE(m_usage.total_kb(), m_limits.memory_mb * 1024);
    }
}

} // namespace
} // namespace chivedeal::platform
