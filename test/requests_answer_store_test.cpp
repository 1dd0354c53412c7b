#include "chivedeal/requests/answer_store.hpp"

#include <gtest/gtest.h>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);

finished_answer answer_of(const std::string& id, std::size_t bytes)
{
    finished_answer answer;
    answer.request.id = request_id(id);
    answer.tokens = {std::string(bytes, 'x')};
    return answer;
}

} // namespace

// Guards against memory that grows with the number of finished answers.
TEST(answer_store, evicts_the_oldest_when_full)
{
    answer_store store({.max_bytes = 1000});
    for (const char* id : {"a", "b", "c"})
        store.add(answer_of(id, 300), start);
    EXPECT_EQ(store.find(request_id("a")), nullptr);
    EXPECT_NE(store.find(request_id("c")), nullptr);
    EXPECT_LE(store.bytes(), 1000U);
    store.add(answer_of("too large", 2000), start);
    EXPECT_NE(store.find(request_id("c")), nullptr);
}

// Guards against answers that are stored indefinitely.
TEST(answer_store, expires_answers)
{
    answer_store store({.retention = absl::Seconds(60)});
    store.add(answer_of("a", 1), start);
    store.expire(start + absl::Seconds(59));
    EXPECT_NE(store.find(request_id("a")), nullptr);
    store.expire(start + absl::Seconds(60));
    EXPECT_EQ(store.find(request_id("a")), nullptr);
    EXPECT_EQ(store.bytes(), 0U);
}
