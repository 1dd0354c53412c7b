#include "fakes/eventually.hpp"
#include "fakes/free_address.hpp"
#include "fakes/node_fixture.hpp"

#include "absl/time/time.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <cstdlib>
#include <string>

namespace chivedeal::admission {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(30);

class admission_node_test : public fakes::node_fixture
{};

// A request beyond the limit must not run, and its response must say when to come back; the
// counters must show it. The rate is so low that the result doesn't depend on the machine's speed.
TEST_F(admission_node_test, refuses_beyond_the_limit_and_says_when_to_return)
{
    // Nobody listens there: an admitted request gets another status and its cost back.
    publish_endpoint(fakes::free_address());
    publish_config(1, R"([{"name":"w","api_keys":["key"],"unit":"tokens","rate_per_s":0.001,)"
                      R"("burst":10,"plain_tokens":11},{"name":"v","api_keys":["other"]}])");
    start();
    fakes::eventually(max_wait, [this] { return is_ready(); });
    const auto refused = post("/app/echo");
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 429);
    const double retry_after_s = std::atof(refused->get_header_value("Retry-After").c_str());
    EXPECT_GE(retry_after_s, 0.2);
    EXPECT_LE(retry_after_s, 6);
    const auto unlimited = post("/app/echo", "other", "", "id-2");
    ASSERT_TRUE(unlimited);
    EXPECT_NE(unlimited->status, 429);
    httplib::Client metrics(m_settings.metrics->host, m_settings.metrics->port);
    const auto page = metrics.Get("/metrics");
    ASSERT_TRUE(page);
    EXPECT_NE(page->body.find(R"(chivedeal_quota_refused_total{priority="0",reason="limit"} 1)"),
              std::string::npos)
        << page->body;
}

} // namespace
} // namespace chivedeal::admission
