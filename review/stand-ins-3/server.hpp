#ifndef REVIEW_STAND_INS_3_SERVER_HPP
#define REVIEW_STAND_INS_3_SERVER_HPP

#include "nodes.hpp"
#include "store.hpp"

#include <httplib.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace review {

/// Answers with a stream of ten events, 20 ms apart.
inline void answer_stream(httplib::Response& response)
{
    const auto event = std::make_shared<int>(0);
    response.set_chunked_content_provider(
        "text/event-stream", [event](std::size_t, httplib::DataSink& sink) {
            const std::string text = "id: " + std::to_string(++*event) + "\ndata: a\n\n";
            sleep_ms(20);
            if (!sink.write(text.data(), text.size()))
                return false;
            if (*event == 10)
                sink.done();
            return true;
        });
}

/// Stand-in of a server of a plain service. It registers in the store, writes its entry every
/// heartbeat, rejects requests for another instance with 421 and leaves the answer to `handler`,
/// which is called for each request that it runs.
class server
{
public:
    struct identity
    {
        std::string id;
        std::string service;
        std::string version;
        std::string zone;
        std::string host;
        int slots = 48;
        int threads = 32;
    };

    std::function<void(const httplib::Request&, httplib::Response&)> handler;

    server(store& registry, identity self) : m_store(registry), m_self(std::move(self)) {}
    ~server() { stop(); }

    const identity& self() const { return m_self; }

    bool start()
    {
        m_http.new_task_queue = [this] { return new httplib::ThreadPool(m_self.threads); };
        m_http.set_tcp_nodelay(true);
        m_http.set_keep_alive_max_count(1000000);
        m_http.set_keep_alive_timeout(5);
        m_http.Get("/health", [this](const auto&, auto& response) {
            response.set_header("Instance-Id", m_self.id);
        });
        const auto run = [this](const auto& request, auto& response) { serve(request, response); };
        m_http.Get("/.*", run);
        m_http.Post("/.*", run);
        if (!m_http.bind_to_port(m_self.host, server_port))
            return false;
        m_thread = std::thread([this] { m_http.listen_after_bind(); });
        m_heartbeat = std::thread([this] {
            for (int beat = 0; !m_stopping; ++beat) {
                if (beat % 24 == 0)
                    write_entry("ready");
                sleep_ms(50);
            }
        });
        return true;
    }

    void write_entry(const std::string& state)
    {
        m_store.put("keyed.servers", m_self.id,
                    json{{"service", m_self.service},
                         {"addr", m_self.host + ":" + std::to_string(server_port)},
                         {"zone", m_self.zone},
                         {"version", m_self.version},
                         {"slots", m_self.slots},
                         {"state", state},
                         {"cold_left_ms", 0},
                         {"born", m_born},
                         {"seq", ++m_sequence}}
                        .dump());
    }

    /// Ends the server and removes its entry.
    void stop()
    {
        if (end())
            remove_entry();
    }

    /// Ends the server. Its entry stays until `remove_entry`.
    bool end()
    {
        if (m_stopping.exchange(true))
            return false;
        m_http.stop();
        if (m_thread.joinable())
            m_thread.join();
        if (m_heartbeat.joinable())
            m_heartbeat.join();
        return true;
    }

    void remove_entry() { m_store.put("keyed.servers", m_self.id, ""); }

private:
    void serve(const httplib::Request& request, httplib::Response& response)
    {
        const std::string id = request.get_header_value("Request-Id");
        response.set_header("Request-Id", id);
        if (request.has_header("Expect-Instance") &&
            request.get_header_value("Expect-Instance") != m_self.id) {
            response.status = 421;
            return;
        }
        response.set_header("Server-Stamp", m_self.id + "." + id);
        handler(request, response);
    }

    store& m_store;
    identity m_self;
    httplib::Server m_http;
    std::thread m_thread;
    std::thread m_heartbeat;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_sequence = 0;
    std::int64_t m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
};

} // namespace review

#endif
