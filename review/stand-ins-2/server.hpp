#ifndef REVIEW_STAND_INS_2_SERVER_HPP
#define REVIEW_STAND_INS_2_SERVER_HPP

#include "free_port.hpp"
#include "record.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

/// The ids of the requests that servers have begun to run.
class run_log
{
public:
    void add(const std::string& request_id)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_ids.insert(request_id);
    }
    bool has(const std::string& request_id) const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_ids.count(request_id) > 0;
    }

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_ids;
};

/// A sound server of a plain service. A part of the requests that it runs end with its own 500, as
/// `error_share` of the site file has it for the same kinds of request: 14% of the look-ups and 0.4%
/// of the bookings.
class server
{
public:
    struct behaviour
    {
        std::chrono::milliseconds work{30};
        /// For requests whose body is shorter than 1 KB, if it differs.
        std::chrono::milliseconds small_work{0};
        /// Multiple of the site file's error shares.
        int error_share = 1;
        /// Size of the answers below the path `/booking/large`.
        std::size_t large_answer_bytes = 0;
    };

    server(std::string id, std::string service, std::string version, record& seen)
        : server(std::move(id), std::move(service), std::move(version), seen, behaviour{}, nullptr)
    {}
    server(std::string id, std::string service, std::string version, record& seen, behaviour works,
           run_log* runs)
        : m_id(std::move(id)),
          m_service(std::move(service)),
          m_version(std::move(version)),
          m_behaviour(works),
          m_seen(seen),
          m_runs(runs),
          m_port(free_port()),
          m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count())
    {
        m_server.new_task_queue = [] { return new httplib::ThreadPool(128); };
        m_server.set_keep_alive_max_count(1000000);
        m_server.set_keep_alive_timeout(10);
        m_server.set_tcp_nodelay(true);
        const auto handler = [this](const httplib::Request& in, httplib::Response& out) {
            run(in, out);
        };
        m_server.Get(".*", handler);
        m_server.Post(".*", handler);
        m_server.bind_to_port(loopback.c_str(), m_port);
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
    }
    ~server()
    {
        m_server.stop();
        m_thread.join();
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    const std::string& id() const { return m_id; }
    const std::string& version() const { return m_version; }
    bool is_draining() const { return m_is_draining; }
    void drain() { m_is_draining = true; }

    /// The server's entry in the store.
    std::string entry()
    {
        return nlohmann::json{
            {"service", m_service}, {"addr", local_address(m_port)},
            {"zone", "zuerich-a"},  {"version", m_version},
            {"slots", 32},          {"state", m_is_draining ? "draining" : "ready"},
            {"cold_left_ms", 0},    {"seq", ++m_seq},
            {"born", m_born}}
            .dump();
    }

private:
    void run(const httplib::Request& request, httplib::Response& response)
    {
        const std::string request_id = request.get_header_value("Request-Id");
        if (request.path == "/health") {
            response.status = m_is_draining ? 503 : 200;
            response.set_header("Instance-Id", m_id);
            return;
        }
        if (!request_id.empty())
            response.set_header("Request-Id", request_id);
        if (request.has_header("Expect-Instance") &&
            request.get_header_value("Expect-Instance") != m_id) {
            response.status = 421;
            response.set_header("Instance-Id", m_id);
            return;
        }
        if (m_runs != nullptr)
            m_runs->add(request_id);
        m_seen.line("server %s %s begins %s", m_id.c_str(), m_version.c_str(), request_id.c_str());
        const bool is_small = request.body.size() < 1024 && m_behaviour.small_work.count() > 0;
        std::this_thread::sleep_for(is_small ? m_behaviour.small_work : m_behaviour.work);
        const std::size_t draw = std::hash<std::string>()(request_id + m_id) % 1000;
        const bool fails = draw < static_cast<std::size_t>(m_behaviour.error_share *
                                                           (request.method == "GET" ? 140 : 4));
        response.status = fails ? 500 : 200;
        response.set_header("Server-Stamp", m_id + "." + request_id);
        if (request.path == "/booking/large")
            response.set_content(std::string(m_behaviour.large_answer_bytes, 'a'), "text/plain");
        else
            response.set_content(fails ? "error" : "answer to " + request_id, "text/plain");
        m_seen.line("server %s %s answers %s: %d", m_id.c_str(), m_version.c_str(),
                    request_id.c_str(), response.status);
    }

    std::string m_id;
    std::string m_service;
    std::string m_version;
    behaviour m_behaviour;
    record& m_seen;
    run_log* m_runs;
    int m_port;
    std::int64_t m_born;
    std::atomic<bool> m_is_draining = false;
    int m_seq = 0;
    httplib::Server m_server;
    std::thread m_thread;
};

} // namespace review

#endif
