#include "chivedeal/forward/topic.hpp"
#include "fakes/eventually.hpp"
#include "fakes/node_fixture.hpp"
#include "fakes/raw_endpoint.hpp"

#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>

#include <string>

namespace chivedeal::forward {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(30);
constexpr int requests = 600;

class split_route_test : public fakes::node_fixture
{
protected:
    void publish(const char* id, const char* service, const char* version,
                 const fakes::raw_endpoint& endpoint)
    {
        m_topics->put(topic::endpoints, id,
                      absl::StrCat(R"({"service":")", service, R"(","addr":")",
                                   to_string(endpoint.listen_address()), R"(","zone":"z",)",
                                   R"("version":")", version, R"(","slots":50,"state":"ready"})"));
    }

    static fakes::raw_response answer(const std::string& /*request*/)
    {
        return {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    }

    fakes::raw_endpoint m_old{answer};
    fakes::raw_endpoint m_new{answer};
    fakes::raw_endpoint m_other_service{answer};
};

// Guards against an unproven version that gets all requests of its service, since the same number
// selects the service of a route and the version.
TEST_F(split_route_test, gives_an_unproven_version_its_share_of_a_small_part)
{
    m_topics->put(topic::configuration, "config",
                  R"({"version":1,"routes":[{"name":"app","host":"h","path_prefix":"/app/",)"
                  R"("kind":"unsafe","timeout_ms":5000,"goal_ms":200,"attempts":1,"backends":)"
                  R"([{"service":"small","weight":10},{"service":"large","weight":90}]}],)"
                  R"("services":[{"name":"small","max_conns":20},{"name":"large","max_conns":20}],)"
                  R"("tenants":[{"name":"w","api_keys":["key"]}]})");
    publish("e1", "small", "v1", m_old);
    publish("e2", "small", "v2", m_new);
    publish("e3", "large", "v1", m_other_service);
    m_topics->put(topic::configuration, "rollout/small",
                  R"({"service":"small","target":"v2","duration_s":600})");
    start();
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return post("/app/x")->status == 200; }));
    absl::SleepFor(absl::Seconds(1));
    const int before = m_new.request_count();
    for (int i = 0; i < requests; ++i)
        ASSERT_EQ(post("/app/x", "key", "", absl::StrCat("request-", i))->status, 200);
    EXPECT_GE(m_old.request_count(), requests / 20);
    EXPECT_LE(m_new.request_count() - before, requests / 60);
}

} // namespace
} // namespace chivedeal::forward
