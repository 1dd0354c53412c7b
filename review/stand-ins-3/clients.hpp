#ifndef REVIEW_STAND_INS_3_CLIENTS_HPP
#define REVIEW_STAND_INS_3_CLIENTS_HPP

#include "nodes.hpp"

#include <httplib.h>

#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr const char* caller_key = "i9n73hh2b9wu3fexd9dn";
constexpr const char* caller_host = "shop.example";

/// Clients with kept connections, spread over the nodes, that send one kind of request at a constant
/// rate and don't retry.
class client_group
{
public:
    struct options
    {
        int requests_per_second = 100;
        int clients = 24;
        std::string method = "POST";
        std::string path = "/orders/new";
        std::string deadline_ms = "3000";
        /// Time without a byte of the answer after which a client leaves.
        int patience_s = 5;
    };

    client_group(const node_group& nodes, options kind) : m_kind(std::move(kind))
    {
        for (int i = 0; i < m_kind.clients; ++i)
            m_threads.emplace_back([this, &nodes, i] { run(nodes.ip(i % nodes.count()), i); });
    }

    void set_phase(const std::string& name)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_phase = name;
    }

    void stop()
    {
        m_stopping = true;
        for (std::thread& each : m_threads)
            each.join();
        m_threads.clear();
    }

    /// Share of the requests of a phase that were answered with success.
    double served_share(const std::string& phase) const
    {
        double served = 0;
        double all = 0;
        if (const auto found = m_answers.find(phase); found != m_answers.end())
            for (const auto& [status, count] : found->second) {
                all += count;
                served += status / 100 == 2 ? count : 0;
            }
        return all == 0 ? 0 : served / all;
    }

    void write(std::ostream& out) const
    {
        for (const auto& [name, statuses] : m_answers) {
            out << "answers " << name << ":";
            for (const auto& [status, count] : statuses)
                out << " " << status << ": " << count << ";";
            out << "\n";
        }
    }

private:
    void run(const std::string& node, int number)
    {
        httplib::Client client(node, front_port);
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_read_timeout(m_kind.patience_s);
        auto due = std::chrono::steady_clock::now() + std::chrono::milliseconds(7 * number);
        while (!m_stopping) {
            std::this_thread::sleep_until(due);
            due +=
                std::chrono::microseconds(1000000LL * m_kind.clients / m_kind.requests_per_second);
            char id[32];
            std::snprintf(id, sizeof id, "%016x", 0x10000000 + m_next_id++);
            const httplib::Headers headers{{"Host", caller_host},
                                           {"Request-Id", id},
                                           {"Deadline-Ms", m_kind.deadline_ms},
                                           {"Authorization", std::string("Bearer ") + caller_key}};
            const auto answer = m_kind.method == "GET"
                                    ? client.Get(m_kind.path, headers)
                                    : client.Post(m_kind.path, headers, "one stand", "text/plain");
            const std::lock_guard<std::mutex> lock(m_mutex);
            ++m_answers[m_phase][answer ? answer->status : 0];
        }
    }

    options m_kind;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_next_id = 1;
    std::mutex m_mutex;
    std::string m_phase = "at first";
    std::map<std::string, std::map<int, int>> m_answers;
    std::vector<std::thread> m_threads;
};

} // namespace review

#endif
