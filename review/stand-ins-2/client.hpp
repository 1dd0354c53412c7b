#ifndef REVIEW_STAND_INS_2_CLIENT_HPP
#define REVIEW_STAND_INS_2_CLIENT_HPP

#include "free_port.hpp"
#include "record.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// What became of one request, which is one client attempt.
struct outcome
{
    double sent_at = 0;
    /// 0 without an answer.
    int status = 0;
    bool served = false;
};

class outcomes
{
public:
    void add(const outcome& one)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_all.push_back(one);
    }
    struct share
    {
        int sent = 0;
        int served = 0;
    };
    share between(double begin, double end) const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        share counted;
        for (const outcome& one : m_all)
            if (one.sent_at >= begin && one.sent_at < end) {
                ++counted.sent;
                counted.served += one.served ? 1 : 0;
            }
        return counted;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<outcome> m_all;
};

/// A client of the two kinds of request of a booking service. It asks the directory for addresses,
/// keeps connections open, and tries once more as PROTOCOL.md allows: look-ups after any failure,
/// bookings only after 503 or 429.
class client
{
public:
    struct options
    {
        int number = 0;
        std::vector<int> directory_ports;
        std::chrono::milliseconds interval{200};
    };

    client(options settings, record& seen, outcomes& results)
        : m_options(std::move(settings)),
          m_seen(seen),
          m_results(results),
          m_random(static_cast<unsigned>(m_options.number)),
          m_thread([this] { run(); })
    {}
    ~client()
    {
        m_stopping = true;
        m_thread.join();
    }
    client(const client&) = delete;
    client& operator=(const client&) = delete;

private:
    static constexpr std::chrono::milliseconds deadline{3000};

    void run()
    {
        auto due = steady::now() + m_options.interval * static_cast<int>(m_random() % 100) / 100;
        while (!m_stopping) {
            std::this_thread::sleep_until(due);
            due = std::max<steady::time_point>(due + m_options.interval, steady::now());
            request_with_retry();
        }
    }

    void request_with_retry()
    {
        const auto begin = steady::now();
        const bool is_lookup = m_random() % 364 < 104;
        for (int attempt = 0; attempt < 2; ++attempt) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                deadline - (steady::now() - begin));
            if (left.count() < 50)
                return;
            double retry_after = 0;
            const outcome result = send(is_lookup, attempt > 0, left, retry_after);
            const bool promised = result.status == 503 || result.status == 429;
            if (result.served || result.status == 401 || result.status == 404 ||
                !(is_lookup || promised))
                return;
            const double limit = std::chrono::duration<double>(left).count() / 3;
            std::this_thread::sleep_for(
                std::chrono::duration<double>(std::min(retry_after, limit)));
        }
    }

    outcome send(bool is_lookup, bool on_new_connection, std::chrono::milliseconds left,
                 double& retry_after)
    {
        const std::string id =
            "c" + std::to_string(m_options.number) + "-" + std::to_string(++m_sent);
        outcome result{.sent_at = m_seen.now()};
        const int port = pick_port();
        if (port == 0) {
            m_seen.line("client %s has no address", id.c_str());
            m_results.add(result);
            return result;
        }
        auto& kept = m_connections[port];
        if (!kept || on_new_connection) {
            kept = std::make_unique<httplib::Client>(loopback, port);
            kept->set_keep_alive(true);
            kept->set_tcp_nodelay(true);
            kept->set_connection_timeout(1);
        }
        kept->set_read_timeout(left.count() / 1000, left.count() % 1000 * 1000);
        const httplib::Headers headers{{"Host", "h.example"},
                                       {"Request-Id", id},
                                       {"Deadline-Ms", std::to_string(left.count())},
                                       {"Authorization", "Bearer key"}};
        const httplib::Result answer =
            is_lookup ? kept->Get("/catalogue/1", headers)
                      : kept->Post("/booking/1", headers, "booking", "text/plain");
        if (answer) {
            result.status = answer->status;
            result.served = answer->status == 200 && answer->has_header("Server-Stamp") &&
                            answer->body == "answer to " + id;
            if (answer->has_header("Retry-After"))
                retry_after = std::stod(answer->get_header_value("Retry-After"));
        }
        else {
            kept.reset();
            m_addresses_until = {};
        }
        m_seen.line("client %s %s to port %d: %d%s", id.c_str(), is_lookup ? "looks up" : "books",
                    port, result.status, result.served ? " served" : "");
        m_results.add(result);
        return result;
    }

    int pick_port()
    {
        if (steady::now() >= m_addresses_until)
            resolve();
        return m_ports.empty() ? 0 : m_ports[m_random() % m_ports.size()];
    }

    void resolve()
    {
        for (std::size_t i = 0; i < m_options.directory_ports.size(); ++i) {
            const std::size_t index = (m_random() + i) % m_options.directory_ports.size();
            httplib::Client directory(loopback, m_options.directory_ports[index]);
            directory.set_connection_timeout(1);
            directory.set_read_timeout(1);
            const auto answer =
                directory.Get("/v1/resolve?name=h.example&region=zuerich&zone=zuerich-a");
            if (!answer || answer->status != 200)
                continue;
            const auto body = nlohmann::json::parse(answer->body);
            m_ports.clear();
            for (const std::string address : body["addrs"])
                m_ports.push_back(std::stoi(address.substr(address.find(':') + 1)));
            const double ttl = std::min(5.0, body["ttl_s"].get<double>());
            m_addresses_until =
                steady::now() + std::chrono::milliseconds(static_cast<int>(ttl * 1000));
            return;
        }
    }

    options m_options;
    record& m_seen;
    outcomes& m_results;
    std::mt19937 m_random;
    std::vector<int> m_ports;
    steady::time_point m_addresses_until;
    std::map<int, std::unique_ptr<httplib::Client>> m_connections;
    int m_sent = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace review

#endif
