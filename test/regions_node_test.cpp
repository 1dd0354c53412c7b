#include "fakes/eventually.hpp"
#include "fakes/node_fixture.hpp"
#include "fakes/raw_endpoint.hpp"

#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>

#include <string>

namespace chivedeal::forward {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(30);

/// A node with one endpoint in its own region, zone z, and one in another region, zone y.
class regions_node_test : public fakes::node_fixture
{
protected:
    void start_with(const std::string& route_regions, const std::string& workspace_regions)
    {
        m_settings.zones = {{zone_id("z"), region_id("r")}, {zone_id("y"), region_id("far")}};
        m_topics->put(topic::configuration, "config",
                      absl::StrCat(R"({"version":1,"routes":[{"name":"app","host":"h",)"
                                   R"("path_prefix":"/app/","kind":"idempotent","attempts":3,)"
                                   R"("timeout_ms":3000,"service":"s","allowed_regions":)",
                                   route_regions,
                                   R"(}],"services":[{"name":"s","max_conns":20}],"tenants":)"
                                   R"([{"name":"w","api_keys":["key"],"allowed_regions":)",
                                   workspace_regions, "}]}"));
        publish("near", m_near, "z");
        publish("far", m_far, "y");
        start();
        ASSERT_TRUE(fakes::eventually(max_wait, [this] { return is_ready(); }));
    }

    void publish(const char* id, const fakes::raw_endpoint& endpoint, const char* zone)
    {
        m_topics->put(topic::endpoints, id,
                      absl::StrCat(R"({"service":"s","addr":")",
                                   to_string(endpoint.listen_address()), R"(","zone":")", zone,
                                   R"(","version":"v1","slots":4,"state":"ready"})"));
    }

    int status() { return post("/app/x")->status; }

    static fakes::raw_response respond(const std::string& /*request*/)
    {
        return {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    }

    fakes::raw_endpoint m_near{respond};
    fakes::raw_endpoint m_far{respond};
};

// Guards against sending requests of routes with home regions to endpoints in other regions.
TEST_F(regions_node_test, sends_requests_only_to_their_home_regions)
{
    start_with(R"(["far"])", "[]");
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(status(), 200);
    EXPECT_EQ(m_near.request_count(), 0);
    EXPECT_EQ(m_far.request_count(), 5);
}

TEST_F(regions_node_test, refuses_a_request_without_a_common_home_region)
{
    start_with(R"(["far"])", R"(["r"])");
    const auto response = post("/app/x");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503);
    EXPECT_FALSE(response->get_header_value("Retry-After").empty());
    EXPECT_EQ(m_near.request_count() + m_far.request_count(), 0);
}

// Guards against requests to an evacuated zone, and against a zone that stays unused afterwards.
TEST_F(regions_node_test, sends_no_request_to_an_evacuated_zone)
{
    start_with(R"(["r"])", "[]");
    EXPECT_EQ(status(), 200);
    m_topics->put(topic::configuration, "evacuate/z", "{}");
    ASSERT_TRUE(fakes::eventually(max_wait, [this] { return status() == 503; }));
    const int before = m_near.request_count();
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(status(), 503);
    // The end of an outage of the store and further records of the endpoint change nothing.
    m_topics->set_down(true);
    EXPECT_EQ(status(), 503);
    m_topics->set_down(false);
    EXPECT_EQ(status(), 503);
    EXPECT_EQ(m_near.request_count(), before);
    EXPECT_EQ(m_far.request_count(), 0);
    m_topics->put(topic::configuration, "evacuate/z", "");
    EXPECT_TRUE(fakes::eventually(max_wait, [this] { return status() == 200; }));
}

} // namespace
} // namespace chivedeal::forward
