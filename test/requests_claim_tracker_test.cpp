#include "chivedeal/requests/claim_tracker.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace chivedeal::requests {
namespace {

constexpr std::size_t result_bytes = 60'000;

// Guards against a process that runs out of memory because callers send many requests, each with an
// idempotency key of its own and a long answer.
TEST(claim_tracker, limits_the_memory_of_results)
{
    constexpr int keys = 500;
    constexpr std::size_t max_body_bytes = 1'000'000;
    claim_tracker tracker({.node = node_id("n1"), .max_body_bytes = max_body_bytes});
    std::uint64_t offset = 0;
    const auto apply = [&](state::record entry) {
        (void)tracker.apply({.offset = ++offset, .entry = std::move(entry)}, absl::UnixEpoch());
    };
    for (int i = 0; i < keys; ++i) {
        const std::string key = absl::StrCat("key", i);
        apply({.body = state::claim{.key = key, .node = node_id("n2"), .attempt = 1}});
        apply({.body = state::claim_result{.key = key,
                                           .node = node_id("n2"),
                                           .outcome = "answered",
                                           .body = std::string(result_bytes, 'x')}});
    }
    std::size_t bytes = 0;
    for (int i = 0; i < keys; ++i) {
        const state::claim_entry* entry = tracker.find(absl::StrCat("key", i));
        ASSERT_NE(entry, nullptr) << "a forgotten key would be claimed again";
        EXPECT_TRUE(entry->finished);
        EXPECT_EQ(entry->outcome, entry->body.empty() ? "unknown" : "answered");
        bytes += entry->body.size();
    }
    EXPECT_LE(bytes, max_body_bytes);
    EXPECT_EQ(tracker.find(absl::StrCat("key", keys - 1))->body.size(), result_bytes);
}

} // namespace
} // namespace chivedeal::requests
