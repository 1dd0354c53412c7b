// Stand-in of the platform: log, instance list, notices, cloud and weights over HTTP.
#include "fakes/stand_in/platform_cloud.hpp"
#include "fakes/stand_in/platform_faults.hpp"
#include "fakes/stand_in/platform_log.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <boost/program_options.hpp>
#include <httplib.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using chivedeal::mutex;
using chivedeal::fakes::platform_cloud;
using chivedeal::fakes::platform_faults;
using chivedeal::fakes::platform_log;
using httplib::Request;
using httplib::Response;
using nlohmann::json;

namespace {

// Each waiting long poll holds a thread: two a node, and a scenario runs at most a few dozen.
constexpr int server_threads = 256;
constexpr int default_max_records = 1000;
constexpr int longest_wait_ms = 30'000;

// A token bucket with one second's worth of burst.
class rate_limit
{
public:
    explicit rate_limit(double per_second) : m_rate(per_second), m_tokens(per_second) {}

    bool take()
    {
        const std::lock_guard<mutex> lock(m_mutex);
        const absl::Time now = absl::Now();
        m_tokens = std::min(m_rate, m_tokens + m_rate * absl::ToDoubleSeconds(now - m_seen));
        m_seen = now;
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    mutex m_mutex;
    double m_rate;
    double m_tokens;
    absl::Time m_seen = absl::Now();
};

void answer(Response& response, const json& body, int status = 200)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

// Answers 304 without a body to a caller that has the same body already.
void answer_tagged(const Request& request, Response& response, const json& body)
{
    const std::string text = body.dump();
    const std::string tag = absl::StrCat("\"", absl::Hex(XXH64(text.data(), text.size(), 0)), "\"");
    response.set_header("ETag", tag);
    if (request.get_header_value("If-None-Match") == tag)
        response.status = 304;
    else
        response.set_content(text, "application/json");
}

void refuse(Response& response, int status, const std::string& reason)
{
    answer(response, {{"error", reason}}, status);
}

// Closes the connection in the middle of the answer, after the effect.
void lose_answer(Response& response)
{
    response.set_content_provider(
        1, "application/json", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

std::uint64_t parameter(const Request& request, const char* name, std::uint64_t fallback)
{
    std::uint64_t value = fallback;
    if (request.has_param(name) && !absl::SimpleAtoi(request.get_param_value(name), &value))
        return fallback;
    return value;
}

class platform
{
public:
    platform(double append_rate, double weight_rate)
        : m_append_limit(append_rate), m_weight_limit(weight_rate)
    {
        m_server.new_task_queue = [] { return new httplib::ThreadPool(server_threads); };
        m_server.set_tcp_nodelay(true);
        // The library's default, SO_REUSEPORT, would let two stand-ins share a port unnoticed.
        m_server.set_socket_options([](int socket) {
            const int on = 1;
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        });
        m_server.set_exception_handler(
            [](const Request&, Response& response, const std::exception_ptr& fault) {
                try {
                    std::rethrow_exception(fault);
                }
                catch (const std::exception& reason) {
                    refuse(response, 400, reason.what());
                }
            });
        install_log();
        install_instances();
        install_cloud();
        install_faults();
    }

    int serve(const std::string& host, int port)
    {
        if (!m_server.bind_to_port(host, port)) {
            std::fprintf(stderr, "cannot listen on %s:%d\n", host.c_str(), port);
            return 1;
        }
        std::printf("listening on %s:%d\n", host.c_str(), port);
        std::fflush(stdout);
        return m_server.listen_after_bind() ? 0 : 1;
    }

private:
    using handler = std::function<void(const Request&, Response&)>;

    // Refuses while `fault` is on.
    handler unless(const char* fault, handler inner)
    {
        return [this, fault, inner = std::move(inner)](const Request& request, Response& response) {
            if (m_faults.is_on(fault))
                refuse(response, 503, fault);
            else
                inner(request, response);
        };
    }

    void install_log()
    {
        m_server.Post(R"(/log/([a-z]+))",
                      unless("log_down", [this](const Request& request, Response& response) {
                          absl::SleepFor(absl::Milliseconds(m_faults.number("log_slow_ms")));
                          if (!m_append_limit.take())
                              return refuse(response, 429, "too many appends");
                          const json body = json::parse(request.body);
                          std::vector<std::string> records;
                          for (const json& entry : body.at("records"))
                              records.push_back(entry.at("data").get<std::string>());
                          const std::uint64_t offset =
                              m_log.append(request.matches[1], std::move(records),
                                           m_faults.number("log_retention_records"));
                          if (m_faults.is_on("log_lose_answers"))
                              return lose_answer(response);
                          answer(response, {{"offset", offset}});
                      }));
        m_server.Get(R"(/log/([a-z]+))",
                     unless("log_down", [this](const Request& request, Response& response) {
                         absl::SleepFor(absl::Milliseconds(m_faults.number("log_slow_ms")));
                         const auto wait_ms = std::min<std::uint64_t>(
                             parameter(request, "wait_ms", 0), longest_wait_ms);
                         json found = m_log.read(
                             request.matches[1], parameter(request, "from", 1),
                             static_cast<int>(parameter(request, "max", default_max_records)),
                             absl::Milliseconds(wait_ms));
                         if (m_faults.is_on("log_down"))
                             return refuse(response, 503, "log_down");
                         answer(response, found);
                     }));
    }

    void install_instances()
    {
        m_server.Get(
            "/instances", unless("list_down", [this](const Request& request, Response& response) {
                answer_tagged(request, response,
                              m_cloud.list(absl::Milliseconds(m_faults.number("list_lag_ms"))));
            }));
        m_server.Post("/instances", [this](const Request& request, Response& response) {
            m_cloud.register_instance(json::parse(request.body));
            answer(response, json::object());
        });
        m_server.Delete(R"(/instances/([^/]+))",
                        [this](const Request& request, Response& response) {
                            m_cloud.remove_instance(request.matches[1]);
                            answer(response, json::object());
                        });
        m_server.Get("/notices",
                     unless("notices_down", [this](const Request& request, Response& response) {
                         answer(response, m_cloud.notices_after(parameter(request, "after", 0)));
                     }));
        m_server.Post("/notices", [this](const Request& request, Response& response) {
            const json notice = json::parse(request.body);
            answer(response, m_cloud.add_notice(notice.at("instance"), notice.at("deadline_ms")));
        });
    }

    void install_cloud()
    {
        m_server.Post("/cloud/start", [this](const Request& request, Response& response) {
            json order{{"reclaimable", false}, {"service", ""}, {"version", ""}};
            order.update(json::parse(request.body));
            const std::string pool =
                order.at("zone").get<std::string>() + "/" + order.at("class").get<std::string>();
            if (m_faults.refuses_pool(pool, order["reclaimable"]))
                return refuse(response, 409, "start refused in " + pool);
            bool is_new = false;
            const json started = m_cloud.start(order, is_new);
            if (is_new)
                load_version(started);
            if (m_faults.is_on("cloud_lose_answers"))
                return lose_answer(response);
            if (started.is_null())
                return refuse(response, 409, "no capacity in " + pool);
            answer(response, started);
        });
        m_server.Post("/cloud/stop", [this](const Request& request, Response& response) {
            // Repeats and unknown instances are no errors: the wanted state holds.
            m_cloud.remove_instance(json::parse(request.body).at("instance"));
            if (m_faults.is_on("cloud_lose_answers"))
                return lose_answer(response);
            answer(response, json::object());
        });
        m_server.Get("/cloud/prices", [this](const Request&, Response& response) {
            answer(response, m_cloud.prices());
        });
        m_server.Post("/cloud/prices", [this](const Request& request, Response& response) {
            m_cloud.set_prices(json::parse(request.body).at("prices"));
            answer(response, json::object());
        });
        m_server.Get(R"(/weights/([^/]+))", [this](const Request& request, Response& response) {
            if (!m_weight_limit.take())
                return refuse(response, 429, "too many weight reads");
            answer(response, {{"model", request.matches[1].str()}});
        });
    }

    // Tells an engine that was started what to serve, as the boot image of a cloud would.
    static void load_version(const json& instance)
    {
        if (instance.at("kind") != "engine")
            return;
        httplib::Client engine(instance.at("address").get<std::string>(), instance.at("port"));
        engine.Post("/v1/orders",
                    json{{"order", "load"}, {"version", instance.at("version")}}.dump(),
                    "application/json");
    }

    void install_faults()
    {
        m_server.Get("/faults", [this](const Request&, Response& response) {
            answer(response, m_faults.all());
        });
        m_server.Post("/faults", [this](const Request& request, Response& response) {
            const std::string unknown = m_faults.set(json::parse(request.body));
            if (!unknown.empty())
                return refuse(response, 400, "unknown fault or wrong type: " + unknown);
            m_log.on_faults(m_faults.is_on("log_down"), m_faults.number("log_retention_records"));
            answer(response, m_faults.all());
        });
    }

    httplib::Server m_server;
    platform_faults m_faults;
    platform_log m_log;
    platform_cloud m_cloud;
    rate_limit m_append_limit;
    rate_limit m_weight_limit;
};

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    po::options_description flags("chivedeal_platform");
    flags.add_options()("host", po::value<std::string>()->default_value("127.0.0.1"),
                        "address to listen on")                                          //
        ("port", po::value<int>()->default_value(9100), "port to listen on")             //
        ("append-rate", po::value<double>()->default_value(500), "log appends a second") //
        ("weight-rate", po::value<double>()->default_value(2), "weight reads a second");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, flags), values);
        po::notify(values);
    }
    catch (const po::error& fault) {
        std::fprintf(stderr, "%s\n", fault.what());
        return 2;
    }
    platform stand_in(values["append-rate"].as<double>(), values["weight-rate"].as<double>());
    return stand_in.serve(values["host"].as<std::string>(), values["port"].as<int>());
}
