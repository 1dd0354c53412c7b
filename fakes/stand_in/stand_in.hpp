#ifndef FAKES_STAND_IN_STAND_IN_HPP
#define FAKES_STAND_IN_STAND_IN_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/mutex.hpp"

#include <boost/program_options.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>

namespace chivedeal::fakes {

using nlohmann::json;

/// Faults that `POST /faults {"name": value}` switches; `exit_now` ends the process at once.
class fault_table
{
public:
    double number(const std::string& name, double fallback = 0) const
    {
        const std::lock_guard<mutex> lock(m_mutex);
        const auto found = m_values.find(name);
        return found != m_values.end() && found->is_number() ? found->get<double>() : fallback;
    }

    std::string text(const std::string& name) const
    {
        const std::lock_guard<mutex> lock(m_mutex);
        return m_values.value(name, std::string());
    }

    bool is_set(const std::string& name) const
    {
        const std::lock_guard<mutex> lock(m_mutex);
        const auto found = m_values.find(name);
        return found != m_values.end() && *found != false && *found != 0 && *found != "";
    }

    /// Whether this run fails by `fail_share`, `fail_route` and `fail_after_s`. Failures are spread
    /// evenly, so that a share shows in few runs.
    bool fails(const std::string& route)
    {
        const double share = number("fail_share", is_set("fail_after_s") ? 1 : 0);
        const std::string bad_route = text("fail_route");
        if (!bad_route.empty() && bad_route == route)
            return true;
        const std::lock_guard<mutex> lock(m_mutex);
        const auto due = std::chrono::duration<double>(m_values.value("fail_after_s", 0.0));
        if (std::chrono::steady_clock::now() < m_changed + due)
            return false;
        m_due_failures += share;
        if (m_due_failures < 1)
            return false;
        m_due_failures -= 1;
        return true;
    }

    void install(httplib::Server& server)
    {
        server.Post("/faults", [this](const httplib::Request& request, httplib::Response& answer) {
            const json change = json::parse(request.body, nullptr, false);
            if (!change.is_object()) {
                answer.status = 400;
                return;
            }
            if (change.contains("exit_now"))
                std::_Exit(1);
            const std::lock_guard<mutex> lock(m_mutex);
            m_values.update(change);
            m_changed = std::chrono::steady_clock::now();
            answer.set_content(m_values.dump(), "application/json");
        });
        server.Get("/faults", [this](const httplib::Request&, httplib::Response& answer) {
            const std::lock_guard<mutex> lock(m_mutex);
            answer.set_content(m_values.dump(), "application/json");
        });
    }

private:
    mutable mutex m_mutex;
    json m_values = json::object();
    std::chrono::steady_clock::time_point m_changed = std::chrono::steady_clock::now();
    double m_due_failures = 0;
};

/// What every stand-in of an endpoint is started with.
struct stand_in_options
{
    int port = 0;
    std::string id;
    std::string region;
    std::string zone;
    std::string machine_class;
    std::string service;
    std::string version;
    std::string platform;
    bool on_demand = false;
    /// Registered as spare: listed only once the cloud starts it.
    bool spare = false;
};

inline void add_options(boost::program_options::options_description& flags, stand_in_options& to)
{
    namespace po = boost::program_options;
    flags.add_options()("port", po::value(&to.port)->required())(
        "id", po::value(&to.id)->required())("region", po::value(&to.region)->default_value("r1"))(
        "zone", po::value(&to.zone)->default_value("z1"))(
        "class", po::value(&to.machine_class)->default_value("a"))(
        "service", po::value(&to.service)->default_value("catalogue"))(
        "version", po::value(&to.version)->default_value("v1"))(
        "platform", po::value(&to.platform)->default_value(""))(
        "on-demand", po::bool_switch(&to.on_demand))("spare", po::value(&to.spare));
}

/// Adds the endpoint to the platform's instance list. Does nothing without a platform.
inline bool register_instance(const stand_in_options& self, const std::string& kind)
{
    if (self.platform.empty())
        return true;
    const auto platform = parse_address(self.platform);
    if (!is_ok(platform))
        return false;
    httplib::Client client(get_value(platform).host, get_value(platform).port);
    const json body{{"id", self.id},
                    {"address", "127.0.0.1"},
                    {"port", self.port},
                    {"region", self.region},
                    {"zone", self.zone},
                    {"class", self.machine_class},
                    {"reclaimable", !self.on_demand},
                    {"kind", kind},
                    {"service", self.service},
                    {"version", self.version},
                    {"status", self.spare ? "spare" : "live"}};
    const auto answer = client.Post("/instances", body.dump(), "application/json");
    return answer && answer->status == 200;
}

/// Listens until the process is ended, then registers once the port is bound.
inline int serve(httplib::Server& server, const stand_in_options& self, const std::string& kind)
{
    // One thread for each open stream; a smaller pool would queue streams unseen.
    server.new_task_queue = [] { return new httplib::ThreadPool(256); };
    server.set_tcp_nodelay(true);
    // The library's default, SO_REUSEPORT, would let two stand-ins share a port unseen.
    socket_t listener = -1;
    server.set_socket_options([&listener](socket_t socket) {
        const int yes = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        listener = socket;
    });
    server.set_keep_alive_max_count(1'000'000);
    if (!server.bind_to_port("127.0.0.1", self.port)) {
        std::fprintf(stderr, "cannot listen on port %d\n", self.port);
        return 1;
    }
    // The library's backlog of 5 loses connections of a burst.
    ::listen(listener, 512);
    if (!register_instance(self, kind)) {
        std::fprintf(stderr, "cannot register at %s\n", self.platform.c_str());
        return 1;
    }
    return server.listen_after_bind() ? 0 : 1;
}

/// Counts runs by name for `GET /runs`, so that a test sees that something ran at most once.
class run_counter
{
public:
    void add(const std::string& name)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        ++m_counts[name];
    }

    json counts() const
    {
        const std::lock_guard<mutex> lock(m_mutex);
        return m_counts;
    }

private:
    mutable mutex m_mutex;
    std::map<std::string, int> m_counts;
};

} // namespace chivedeal::fakes

#endif
