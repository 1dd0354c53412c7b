#ifndef FAKES_NODE_FIXTURE_HPP
#define FAKES_NODE_FIXTURE_HPP

#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/forward/forwarding_node.hpp"
#include "fakes/fake_duty_api.hpp"
#include "fakes/fake_record_store.hpp"
#include "fakes/free_address.hpp"
#include "platform/json_wire_format.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <memory>
#include <string>

namespace chivedeal::fakes {

/// Runs a node against fakes of the platform and sends it requests.
class node_fixture : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_settings = {.node = node_id("n1"),
                      .zone = zone_id("z"),
                      .region = region_id("r"),
                      .zones = {{zone_id("z"), region_id("r")}},
                      .front = free_address(),
                      .ready = free_address(),
                      .directory = free_address(),
                      .peers = free_address(),
                      .metrics = free_address(),
                      .address_ttl = absl::Milliseconds(100),
                      .shutdown_grace = absl::Seconds(2),
                      .lease_term = absl::Milliseconds(500),
                      .usage_window = absl::Seconds(1),
                      .is_first_start = true,
                      .reports_usage = true};
    }

    void start()
    {
        m_node = std::make_unique<forward::forwarding_node>(forward::forwarding_node::options{
            .settings = m_settings,
            .names = {},
            .format = std::make_unique<platform::json_wire_format>(),
            .make_store = [this] { return std::make_unique<fake_record_store>(m_topics); },
            .platform = std::make_unique<fake_duty_api>(m_calls)});
        m_thread = std::make_unique<posix_thread>("node", [this] { m_node->run(); });
    }

    void TearDown() override
    {
        if (m_node)
            m_node->request_stop();
        m_thread.reset();
        m_node.reset();
    }

    void publish_config(int version, const char* tenants = R"([{"name":"w","api_keys":["key"]}])",
                        int timeout_ms = 5000)
    {
        m_topics->put(
            forward::topic::configuration, "config",
            absl::StrCat(R"({"version":)", version,
                         R"(,"routes":[{"name":"app","host":"h","path_prefix":"/app/",)"
                         R"("kind":"unsafe","timeout_ms":)",
                         timeout_ms,
                         R"(,"goal_ms":200,"attempts":1,)"
                         R"("service":"s"},{"name":"stream","host":"h","path_prefix":"/stream/",)"
                         R"("kind":"streaming","timeout_ms":)",
                         timeout_ms,
                         R"(,"goal_ms":200,"attempts":1,)"
                         R"("service":"s"}],"services":[{"name":"s","max_conns":20}],)"
                         R"("tenants":)",
                         tenants, "}"));
    }

    void publish_endpoint(const address& endpoint, const char* state = "ready",
                          const char* id = "e1")
    {
        m_topics->put(forward::topic::endpoints, id,
                      absl::StrCat(R"({"service":"s","addr":")", to_string(endpoint),
                                   R"(","zone":"z","version":"v1","slots":4,"state":")", state,
                                   R"("})"));
    }

    bool is_ready()
    {
        httplib::Client client(m_settings.ready->host, m_settings.ready->port);
        const auto answer = client.Get("/v1/ready");
        return answer && answer->status == 200;
    }

    httplib::Result post(const std::string& path, const std::string& key = "key",
                         const std::string& prefix = "", const std::string& request_id = "id-1",
                         const std::string& body = "body")
    {
        httplib::Client client(m_settings.front.host, m_settings.front.port);
        httplib::Headers headers{{"Host", "h"},
                                 {"Chivedeal-Request-Id", request_id},
                                 {"Chivedeal-Deadline-Ms", "4000"},
                                 {"Chivedeal-Workspace", "forged"},
                                 {"Authorization", "Bearer " + key}};
        if (!prefix.empty())
            headers.emplace("Chivedeal-Prefix", prefix);
        return client.Post(path, headers, body, "text/plain");
    }

    forward::node_settings m_settings;
    std::shared_ptr<fake_topics> m_topics = std::make_shared<fake_topics>();
    std::shared_ptr<fake_duty_calls> m_calls = std::make_shared<fake_duty_calls>();
    std::unique_ptr<forward::forwarding_node> m_node;
    std::unique_ptr<posix_thread> m_thread;
};

} // namespace chivedeal::fakes

#endif
