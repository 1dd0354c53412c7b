#include "chivedeal/state/append_batcher.hpp"
#include "chivedeal/state/http_log_service.hpp"
#include "chivedeal/state/log_batch.hpp"
#include "chivedeal/state/record_codec.hpp"
#include "chivedeal/state/snapshot_policy.hpp"
#include "chivedeal/state/stream_name.hpp"

#include "chivedeal/core/posix_thread.hpp"

#include "absl/time/clock.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <optional>
#include <string>

using namespace chivedeal;        // NOLINT(google-build-using-namespace)
using namespace chivedeal::state; // NOLINT(google-build-using-namespace)

namespace {

record claim_of(const std::string& id) { return {change_id(id), claim{"k" + id, node_id("n"), 1}}; }

// Returns the same status and body for every request.
class canned_server
{
public:
    canned_server(int status, std::string body)
    {
        const auto answer = [=](const httplib::Request&, httplib::Response& response) {
            response.status = status;
            response.set_content(body, "application/json");
        };
        m_server.Get(".*", answer);
        m_server.Post(".*", answer);
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread.emplace("server", [this] { m_server.listen_after_bind(); });
    }

    ~canned_server()
    {
        // Stopping the server before its loop runs would have no effect.
        while (!m_server.is_running())
            absl::SleepFor(absl::Milliseconds(1));
        m_server.stop();
    }

    http_log_service::options log_options() const
    {
        return {.platform = {.host = "127.0.0.1", .port = static_cast<std::uint16_t>(m_port)}};
    }

private:
    httplib::Server m_server;
    int m_port = 0;
    std::optional<posix_thread> m_thread;
};

} // namespace

// Guards against exceeding the append rate of the log by appending each claim separately.
TEST(append_batcher, batches_claims_within_interval)
{
    append_batcher batcher({});
    const absl::Time start = absl::FromUnixSeconds(100);
    batcher.add(claim_of("a"), start);
    const auto first = batcher.take(start);
    ASSERT_TRUE(first);
    batcher.finished(*first, true, start);
    batcher.add(claim_of("b"), start);
    batcher.add(claim_of("c"), start);
    EXPECT_EQ(batcher.take(start + absl::Milliseconds(49)), std::nullopt);
    EXPECT_EQ(batcher.wait(start), absl::Milliseconds(50));
    const auto second = batcher.take(start + absl::Milliseconds(50));
    ASSERT_TRUE(second);
    EXPECT_EQ(second->changes, (std::vector<change_id>{change_id("b"), change_id("c")}));
}

// Guards against losing a record, or retrying it with a new change ID, when an answer is lost.
TEST(append_batcher, retries_failed_batch_with_same_records)
{
    append_batcher batcher({});
    const absl::Time start = absl::FromUnixSeconds(100);
    batcher.add({change_id("a"), version_verdict{}}, start);
    const auto first = batcher.take(start);
    ASSERT_TRUE(first);
    batcher.finished(*first, false, start);
    EXPECT_EQ(batcher.take(start), std::nullopt) << "must back off after a failed append";
    EXPECT_EQ(batcher.take(start + batcher.wait(start)), first);
    EXPECT_EQ(batcher.take(start + absl::Seconds(11)), std::nullopt)
        << "expired records must be dropped";
    EXPECT_EQ(batcher.wait(start), absl::InfiniteDuration());
}

// Guards against snapshots that expire from the log and against every node writing its own.
TEST(snapshot_policy, triggers_by_age_and_size_only_with_lease)
{
    snapshot_policy policy({.retention = absl::Hours(4), .max_record_bytes = 1000});
    const absl::Time start = absl::FromUnixSeconds(1'000'000);
    EXPECT_FALSE(policy.decide({}, true, start));
    EXPECT_TRUE(policy.decide({.record_bytes = 1000}, true, start));
    EXPECT_FALSE(policy.decide({.record_bytes = 1000}, true, start + absl::Seconds(1)));
    EXPECT_TRUE(policy.decide({.record_bytes = 1000}, true, start + absl::Seconds(61)));
    const log_progress seen{.snapshots_seen = 1, .snapshot_bytes = 5000, .record_bytes = 1000};
    EXPECT_FALSE(policy.decide(seen, true, start + absl::Minutes(10)));
    EXPECT_FALSE(policy.decide(seen, false, start + absl::Minutes(70)));
    EXPECT_TRUE(policy.decide(seen, true, start + absl::Minutes(70)));
}

// Guards against requests and responses that don't match the platform's protocol.
TEST(http_log_service, reads_and_appends)
{
    canned_server reads(200, R"({"first": 3, "next": 6, "records": [{"offset": 4, "data": "x"},
                                 {"offset": 5, "data": "y"}]})");
    http_log_service log(reads.log_options());
    const auto batch = log.read("control", 4, 10, absl::ZeroDuration());
    ASSERT_TRUE(is_ok(batch));
    EXPECT_EQ(
        get_value(batch),
        (log_batch{.stream = "control", .first = 3, .next = 6, .entries = {{4, "x"}, {5, "y"}}}));
    canned_server appends(200, R"({"offset": 7})");
    http_log_service append_log(appends.log_options());
    EXPECT_EQ(append_log.append("control", {"x"}), (result<std::uint64_t>{std::uint64_t{7}}));
    append_log.stop();
    EXPECT_EQ(get_error(append_log.append("control", {"x"})).code, result_code::stopping);
}

// Guards against treating a malformed response as an empty log or a successful append.
TEST(http_log_service, rejects_malformed_responses)
{
    for (const char* body :
         {"", "[]", R"({"first": 1, "next": 2})", R"({"first": 1, "next": 2, "records": [1]})",
          R"({"first": 1, "next": 3, "records": [{"offset": 2, "data": ""},
              {"offset": 1, "data": ""}]})",
          R"({"first": 1, "next": 2, "records": [{"offset": 2, "data": ""}]})"}) {
        canned_server server(200, body);
        http_log_service log(server.log_options());
        EXPECT_FALSE(is_ok(log.read("control", 1, 10, absl::ZeroDuration()))) << body;
        EXPECT_FALSE(is_ok(log.append("control", {"x"}))) << body;
    }
    canned_server server(503, R"({"offset": 1})");
    http_log_service log(server.log_options());
    EXPECT_EQ(get_error(log.append("control", {"x"})).code, result_code::log_unavailable);
}
