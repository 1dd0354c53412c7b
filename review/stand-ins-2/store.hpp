#ifndef REVIEW_STAND_INS_2_STORE_HPP
#define REVIEW_STAND_INS_2_STORE_HPP

#include "free_port.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Stand-in of the platform's store in its log form, always sound: topics of one partition in
/// memory. It keeps every record, and its answers are linearizable.
class store
{
public:
    using status_listener = std::function<void(const std::string& key, const std::string& value)>;

    /// `on_status` is called when a record of `keyed.status` has been accepted.
    explicit store(status_listener on_status)
        : m_on_status(std::move(on_status)), m_port(free_port())
    {
        m_server.new_task_queue = [] { return new httplib::ThreadPool(64); };
        m_server.set_keep_alive_max_count(1000000);
        m_server.set_keep_alive_timeout(60);
        m_server.set_tcp_nodelay(true);
        using httplib::Request;
        using httplib::Response;
        m_server.Post("/v1/log-append",
                      [this](const Request& in, Response& out) { append(in, out); });
        m_server.Get("/v1/log-read", [this](const Request& in, Response& out) { read(in, out); });
        m_server.Get("/v1/log-newest",
                     [this](const Request& in, Response& out) { newest(in, out); });
        m_server.bind_to_port(loopback.c_str(), m_port);
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
    }
    ~store()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_stopping = true;
        }
        m_changed.notify_all();
        m_server.stop();
        m_thread.join();
    }
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    std::string address() const { return local_address(m_port); }

    /// Writes as the operator or a server; an empty value removes the key.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_topics[topic].push_back(static_cast<char>(key.size()) + key + value);
        m_changed.notify_all();
    }

private:
    static std::string big_endian(std::uint64_t value, int bytes)
    {
        std::string encoded;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
            encoded += static_cast<char>(value >> shift & 0xFF);
        return encoded;
    }
    static std::string key_of(const std::string& content)
    {
        return content.empty() ? ""
                               : content.substr(1, static_cast<unsigned char>(content.front()));
    }
    static std::string value_of(const std::string& content)
    {
        return content.substr(std::min(content.size(), key_of(content).size() + 1));
    }
    static std::string base64(const std::string& bytes)
    {
        constexpr char digits[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string encoded;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            std::uint32_t group = 0;
            for (std::size_t i = 0; i < 3; ++i)
                group = group << 8 |
                        (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0);
            for (std::size_t i = 0; i < 4; ++i)
                encoded += at + i <= bytes.size() ? digits[group >> (18 - 6 * i) & 63] : '=';
        }
        return encoded;
    }
    static std::uint64_t number(const httplib::Request& request, const char* name)
    {
        return request.has_param(name) ? std::stoull(request.get_param_value(name)) : 0;
    }

    void append(const httplib::Request& request, httplib::Response& response)
    {
        const std::string topic = request.get_param_value("topic");
        if (topic == "keyed.op" || topic == "keyed.servers") {
            response.status = 403;
            return;
        }
        std::vector<std::string> contents;
        for (std::size_t at = 0; at + 4 <= request.body.size();) {
            std::size_t size = 0;
            for (int i = 0; i < 4; ++i)
                size = size << 8 | static_cast<unsigned char>(request.body[at + i]);
            contents.push_back(request.body.substr(at + 4, size));
            at += 4 + size;
        }
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            auto& records = m_topics[topic];
            if (request.has_param("at") && number(request, "at") != records.size()) {
                response.status = 412;
                response.set_content(nlohmann::json{{"end", records.size()}}.dump(),
                                     "application/json");
                return;
            }
            const std::size_t offset = records.size();
            records.insert(records.end(), contents.begin(), contents.end());
            response.set_content(nlohmann::json{{"offset", offset}, {"end", records.size()}}.dump(),
                                 "application/json");
        }
        m_changed.notify_all();
        if (topic == "keyed.status")
            for (const std::string& content : contents)
                m_on_status(key_of(content), value_of(content));
    }

    void read(const httplib::Request& request, httplib::Response& response)
    {
        const std::string topic = request.get_param_value("topic");
        const std::uint64_t from = number(request, "from");
        const auto wait = std::chrono::milliseconds(number(request, "wait_ms"));
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait_for(lock, wait, [&] { return m_stopping || m_topics[topic].size() > from; });
        const auto& records = m_topics[topic];
        std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
        for (std::size_t i = from; i < records.size(); ++i)
            body += big_endian(records[i].size(), 4) + records[i];
        response.set_content(body, "application/octet-stream");
    }

    void newest(const httplib::Request& request, httplib::Response& response)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto& records = m_topics[request.get_param_value("topic")];
        std::map<std::string, std::size_t> latest;
        for (std::size_t i = 0; i < records.size(); ++i)
            latest[key_of(records[i])] = i;
        nlohmann::json items = nlohmann::json::array();
        for (const auto& [key, offset] : latest)
            if (!value_of(records[offset]).empty())
                items.push_back(nlohmann::json{{"key", key},
                                               {"value", base64(value_of(records[offset]))},
                                               {"offset", offset}});
        response.set_content(
            nlohmann::json{{"items", items}, {"has_more", false}, {"end", records.size()}}.dump(),
            "application/json");
    }

    status_listener m_on_status;
    int m_port;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::map<std::string, std::vector<std::string>> m_topics;
    httplib::Server m_server;
    std::thread m_thread;
};

} // namespace review

#endif
