#ifndef REVIEW_STAND_INS_3_STORE_HPP
#define REVIEW_STAND_INS_3_STORE_HPP

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;

inline std::string base64(const std::string& text)
{
    constexpr const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t bits = 0;
        for (std::size_t i = 0; i < 3; ++i)
            bits =
                bits << 8 | (at + i < text.size() ? static_cast<unsigned char>(text[at + i]) : 0);
        for (std::size_t i = 0; i < 4; ++i)
            out += at + i <= text.size() ? digits[bits >> (18 - 6 * i) & 63] : '=';
    }
    return out;
}

/// Sound stand-in of the platform's store (the log form of PROTOCOL.md) and of the cloud API, on one
/// loopback address. Keeps all records. Topics exist from their first use.
class store
{
public:
    /// Called, under the store's lock, with each accepted usage report.
    std::function<void(std::int64_t window, const json& counts)> on_usage;

    ~store() { stop(); }

    bool start(const std::string& host, int port)
    {
        m_server.new_task_queue = [] { return new httplib::ThreadPool(96); };
        m_server.set_tcp_nodelay(true);
        m_server.set_keep_alive_max_count(1000000);
        m_server.set_keep_alive_timeout(5);
        m_server.Post("/v1/log-append", [this](const auto& request, auto& response) {
            append_call(request, response);
        });
        m_server.Get("/v1/log-read",
                     [this](const auto& request, auto& response) { read_call(request, response); });
        m_server.Get("/v1/log-newest", [this](const auto& request, auto& response) {
            newest_call(request, response);
        });
        m_server.Post("/usage", [this](const auto& request, auto& response) {
            duty_call(request, response, "usage");
        });
        m_server.Post("/scale", [this](const auto& request, auto& response) {
            duty_call(request, response, "scale");
        });
        if (!m_server.bind_to_port(host, port))
            return false;
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        return true;
    }

    void stop()
    {
        m_stopping = true;
        m_changed.notify_all();
        m_server.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    /// Writes a record of the operator or of a server. An empty value drops the key.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::string record(1, static_cast<char>(key.size()));
        add(topic, record + key + value);
    }

    /// Newest value of a key, or an empty text.
    std::string newest(const std::string& topic, const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_newest[topic].find(key);
        return found == m_newest[topic].end() ? std::string() : found->second.second;
    }

private:
    static bool is_keyed(const std::string& topic) { return topic.rfind("keyed.", 0) == 0; }

    void add(const std::string& topic, const std::string& record)
    {
        auto& records = m_topics[topic];
        if (is_keyed(topic) && !record.empty()) {
            const std::size_t size = static_cast<unsigned char>(record[0]);
            const std::string key = record.substr(1, size);
            const std::string value = record.size() > size + 1 ? record.substr(size + 1) : "";
            if (value.empty())
                m_newest[topic].erase(key);
            else
                m_newest[topic][key] = {records.size(), value};
        }
        records.push_back(record);
        m_changed.notify_all();
    }

    static void append_number(std::string& out, std::uint64_t value, int bytes)
    {
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
            out += static_cast<char>(value >> shift & 0xFF);
    }

    void append_call(const httplib::Request& request, httplib::Response& response)
    {
        const std::string topic = request.get_param_value("topic");
        const std::string& body = request.body;
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::uint64_t begin = m_topics[topic].size();
        if (topic == "keyed.op" || topic == "keyed.servers") {
            response.status = 403;
            return;
        }
        if (request.has_param("at") && std::stoull(request.get_param_value("at")) != begin) {
            response.status = 412;
            response.set_content(json{{"end", begin}}.dump(), "application/json");
            return;
        }
        for (std::size_t at = 0; at + 4 <= body.size();) {
            std::size_t size = 0;
            for (int i = 0; i < 4; ++i)
                size = size << 8 | static_cast<unsigned char>(body[at + i]);
            add(topic, body.substr(at + 4, size));
            at += 4 + size;
        }
        response.set_content(json{{"offset", begin}, {"end", m_topics[topic].size()}}.dump(),
                             "application/json");
    }

    void read_call(const httplib::Request& request, httplib::Response& response)
    {
        const std::string topic = request.get_param_value("topic");
        const std::uint64_t from = std::stoull(request.get_param_value("from"));
        const int wait_ms =
            request.has_param("wait_ms") ? std::stoi(request.get_param_value("wait_ms")) : 0;
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait_for(lock, std::chrono::milliseconds(wait_ms),
                           [&] { return m_stopping || m_topics[topic].size() > from; });
        const auto& records = m_topics[topic];
        std::string out;
        append_number(out, records.size(), 8);
        append_number(out, 0, 8);
        for (std::uint64_t at = from; at < records.size() && out.size() < 1000000; ++at) {
            append_number(out, records[at].size(), 4);
            out += records[at];
        }
        response.set_content(out, "application/octet-stream");
    }

    void newest_call(const httplib::Request& request, httplib::Response& response)
    {
        const std::string topic = request.get_param_value("topic");
        const std::string after = request.get_param_value("after");
        const std::lock_guard<std::mutex> lock(m_mutex);
        json items = json::array();
        bool has_more = false;
        for (auto entry = m_newest[topic].upper_bound(after); entry != m_newest[topic].end();
             ++entry) {
            if (items.size() == 500) {
                has_more = true;
                break;
            }
            items.push_back({{"key", entry->first},
                             {"value", base64(entry->second.second)},
                             {"offset", entry->second.first}});
        }
        response.set_content(
            json{{"items", items}, {"has_more", has_more}, {"end", m_topics[topic].size()}}.dump(),
            "application/json");
    }

    void duty_call(const httplib::Request& request, httplib::Response& response, const char* duty)
    {
        const json body = json::parse(request.body);
        const std::uint64_t token = std::stoull(request.get_header_value("Fence-Token"));
        std::string subject = duty;
        if (body.contains("service"))
            subject +=
                "/" + body["service"].get<std::string>() + "/" + body["zone"].get<std::string>();
        const std::lock_guard<std::mutex> lock(m_mutex);
        auto& highest = m_fences[subject];
        if (token < highest) {
            response.status = 409;
            response.set_content(R"({"reason":"fence"})", "application/json");
            return;
        }
        highest = token;
        if (body.contains("window") && on_usage)
            on_usage(body["window"].get<std::int64_t>(), body["counts"]);
        response.set_content("{}", "application/json");
    }

    httplib::Server m_server;
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<std::string>> m_topics;
    std::map<std::string, std::map<std::string, std::pair<std::uint64_t, std::string>>> m_newest;
    std::map<std::string, std::uint64_t> m_fences;
    bool m_stopping = false;
};

} // namespace review

#endif
