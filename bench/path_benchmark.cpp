#include "bench/path_benchmark.hpp"

#include "bench/report.hpp"
#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/supervisor.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/requests/caller_server.hpp"
#include "chivedeal/requests/endpoint_call_worker.hpp"
#include "chivedeal/requests/endpoint_worker.hpp"
#include "chivedeal/requests/http_endpoint_client.hpp"
#include "chivedeal/requests/least_outstanding_policy.hpp"
#include "chivedeal/requests/router.hpp"
#include "chivedeal/state/cluster_state.hpp"
#include "fakes/free_address.hpp"

#include "absl/strings/str_cat.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <utility>
#include <vector>

namespace chivedeal::bench {

namespace {

using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)

constexpr int open_stream_count = 200;
constexpr int probe_count = 1000;
// Interval between two tokens of a stream in the full-size setup.
constexpr absl::Duration token_gap = absl::Milliseconds(51);
constexpr std::size_t worker_count = open_stream_count + 16;

// Engine that answers a probe at once and keeps any other stream open until it is stopped.
class stub_engine
{
public:
    stub_engine() : m_listen(fakes::free_address())
    {
        m_server.new_task_queue = [] { return new httplib::ThreadPool(2 * worker_count); };
        m_server.set_tcp_nodelay(true);
        m_server.Post("/v1/generate", [this](const auto& request, auto& answer) {
            const bool probe = request.body.find("probe") != std::string::npos;
            answer.set_chunked_content_provider(
                "text/event-stream",
                [this, probe](std::size_t, auto& sink) { return stream(probe, sink); });
        });
        socket_t listener = -1;
        m_server.set_socket_options([&listener](socket_t socket) { listener = socket; });
        m_server.bind_to_port(m_listen.host, m_listen.port);
        // The library's backlog of 5 is too small for the burst of streams and would drop
        // connections.
        ::listen(listener, 2 * open_stream_count);
        m_thread =
            std::make_unique<posix_thread>("engine", [this] { m_server.listen_after_bind(); });
    }

    ~stub_engine()
    {
        m_stopped.close();
        m_server.stop();
    }

    const address& listen() const { return m_listen; }
    void stop_streams() { m_stopped.close(); }
    int open() const { return m_open; }

private:
    bool stream(bool probe, httplib::DataSink& sink)
    {
        const auto write = [&](const std::string& text) {
            return sink.write(text.data(), text.size());
        };
        m_open += probe ? 0 : 1;
        bool open = write("event: start\ndata: {\"prompt_tokens\": 1, \"cached_tokens\": 0}\n\n");
        for (int position = 0; open; ++position) {
            open = write(absl::StrCat("id: ", position, "\ndata: oak\n\n"));
            if (probe)
                break;
            (void)m_stopped.pop(token_gap);
            open = open && !m_stopped.closed();
        }
        m_open -= probe ? 0 : 1;
        write("event: end\ndata: {}\n\n");
        sink.done();
        return true;
    }

    address m_listen;
    std::atomic<int> m_open = 0;
    bounded_ring<int> m_stopped{1};
    httplib::Server m_server;
    std::unique_ptr<posix_thread> m_thread;
};

// The supervised request duties of a node that routes to a single engine.
class node
{
public:
    explicit node(const address& engine)
        : m_root({.name = "requests"}, children()), m_thread("requests", [this] { m_root.run(); })
    {
        state::cluster_state state;
        state.services[service_id("s")] =
            std::make_shared<const state::service>(state::service{.name = service_id("s")});
        state.workspaces[workspace_id("w")] =
            std::make_shared<const state::workspace>(state::workspace{
                .name = workspace_id("w"), .rate = 1e6, .burst = 1e6, .concurrency = 1'000'000});
        membership::membership_view view{.self = node_id("n"), .nodes = {{.id = node_id("n")}}};
        view.endpoints.push_back(
            {.id = endpoint_id("e"), .listen = engine, .service = service_id("s")});
        (void)m_inbox.push(
            {.event = state_changed{std::make_shared<const state::cluster_state>(state)},
             .reply = nullptr});
        (void)m_inbox.push(
            {.event = view_changed{std::make_shared<const membership::membership_view>(view)},
             .reply = nullptr});
    }

    ~node() { m_root.request_stop(); }

    const address& listen() const { return m_listen; }

private:
    std::vector<child_spec> children()
    {
        std::vector<child_spec> specs{
            {.name = "router",
             .make =
                 [this] {
                     auto policy = std::make_shared<least_outstanding_policy>();
                     return std::make_unique<router>(
                         router::options{.time = m_clock,
                                         .policy = policy,
                                         .flow = {.policy = *policy,
                                                  .node = node_id("n"),
                                                  .shedding = {.max_open = 2 * open_stream_count}},
                                         .inbox = m_inbox,
                                         .attempts = m_attempts,
                                         .endpoint_commands = m_orders});
                 }},
            {.name = "endpoint_call_worker", .make = [this] {
                 return std::make_unique<endpoint_call_worker>(endpoint_call_worker::options{
                     .client = m_client, .endpoint_commands = m_orders, .router_inbox = m_inbox});
             }}};
        for (std::size_t i = 0; i < worker_count; ++i)
            specs.push_back(
                {.name = "endpoint_worker", .make = [this] {
                     return std::make_unique<endpoint_worker>(endpoint_worker::options{
                         .client = m_client, .attempts = m_attempts, .router_inbox = m_inbox});
                 }});
        specs.push_back({.name = "caller_server", .make = [this] {
                             return std::make_unique<caller_server>(
                                 caller_server::options{.listen = m_listen,
                                                        .time = m_clock,
                                                        .router_inbox = m_inbox,
                                                        .route_jobs = m_jobs});
                         }});
        return specs;
    }

    address m_listen = fakes::free_address();
    system_clock m_clock;
    http_endpoint_client m_client{m_clock};
    bounded_ring<router_message> m_inbox{4096};
    bounded_ring<route_job> m_jobs{64};
    bounded_ring<attempt_start> m_attempts{512};
    bounded_ring<endpoint_command> m_orders{512};
    supervisor m_root;
    posix_thread m_thread;
};

// Posts a request over `client` and returns the time to the first token, or zero if there was none.
absl::Duration measure_first_token(httplib::Client& client, const std::string& path,
                                   const char* body)
{
    const system_clock clock;
    const absl::Time start = clock.now();
    absl::Duration latency;
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    request.set_header("Chivedeal-Workspace", "w");
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                                   std::uint64_t) {
        if (latency == absl::ZeroDuration() &&
            std::string_view(data, size).find("id: 0") != std::string_view::npos)
            latency = clock.now() - start;
        return true;
    };
    (void)client.send(request);
    return latency;
}

void wait_until_listening(const address& listen)
{
    bounded_ring<int> sleeper(1);
    while (true) {
        httplib::Client client(listen.host, listen.port);
        const auto answer = client.Get("/");
        if (answer || answer.error() != httplib::Error::Connection)
            return;
        (void)sleeper.pop(absl::Milliseconds(10));
    }
}

double quantile(std::vector<double> samples, double fraction)
{
    std::sort(samples.begin(), samples.end());
    return samples[static_cast<std::size_t>(fraction * static_cast<double>(samples.size() - 1))];
}

constexpr const char* node_path = "/v1/services/s/requests";

} // namespace

void path_benchmark::run(report& out)
{
    stub_engine engine;
    node tested_node(engine.listen());
    wait_until_listening(engine.listen());
    wait_until_listening(tested_node.listen());
    std::vector<std::unique_ptr<posix_thread>> callers;
    for (int i = 0; i < open_stream_count; ++i)
        callers.push_back(std::make_unique<posix_thread>("caller", [&] {
            httplib::Client client(tested_node.listen().host, tested_node.listen().port);
            client.set_read_timeout(std::chrono::seconds(60));
            (void)measure_first_token(client, node_path, R"({"prompt": "open"})");
        }));
    // The streams open within a second; the iteration limit prevents a fault from hanging the
    // benchmark.
    bounded_ring<int> sleeper(1);
    for (int i = 0; i < 1000 && engine.open() < open_stream_count; ++i)
        (void)sleeper.pop(absl::Milliseconds(10));
    std::vector<double> direct_ms;
    std::vector<double> through_node_ms;
    int failed = 0;
    {
        httplib::Client to_engine(engine.listen().host, engine.listen().port);
        httplib::Client to_node(tested_node.listen().host, tested_node.listen().port);
        for (httplib::Client* client : {&to_engine, &to_node}) {
            client->set_keep_alive(true);
            client->set_tcp_nodelay(true);
        }
        // Alternate both paths, so that changes in machine load affect them equally.
        for (int i = 0; i < probe_count; ++i) {
            const absl::Duration direct_latency =
                measure_first_token(to_engine, "/v1/generate", R"({"prompt": "probe"})");
            const absl::Duration node_latency =
                measure_first_token(to_node, node_path, R"({"prompt": "probe"})");
            failed += node_latency == absl::ZeroDuration() ? 1 : 0;
            direct_ms.push_back(absl::ToDoubleMilliseconds(direct_latency));
            through_node_ms.push_back(absl::ToDoubleMilliseconds(node_latency));
        }
    }
    out.add("path", "open_streams_at_the_end", "through_node", engine.open(), "streams");
    engine.stop_streams();
    callers.clear();
    for (const double fraction : {0.5, 0.99}) {
        const std::string measure = absl::StrCat("first_token_p", fraction * 100);
        out.add("path", measure, "direct", quantile(direct_ms, fraction), "ms");
        out.add("path", measure, "through_node", quantile(through_node_ms, fraction), "ms");
        out.add("path", absl::StrCat(measure, "_added"), "through_node",
                quantile(through_node_ms, fraction) - quantile(direct_ms, fraction), "ms");
    }
    out.add("path", "probes_without_token", "through_node", failed, "of 1000");
}

} // namespace chivedeal::bench
