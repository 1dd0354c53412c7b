#include "test/platform_soak/soak_store.hpp"

#include "fakes/free_address.hpp"

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <mutex>
#include <utility>

namespace chivedeal::soak {

namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

// Each connection takes a thread. A node has three, and some of a killed one may still be open.
constexpr int threads_per_node = 6;
constexpr absl::Duration silence = absl::Seconds(2);

std::int64_t number(const Request& request, const char* name, std::int64_t fallback)
{
    std::int64_t value = 0;
    return absl::SimpleAtoi(request.get_param_value(name), &value) ? value : fallback;
}

std::string big_endian(std::uint64_t value, int bytes)
{
    std::string encoded;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        encoded += static_cast<char>(value >> shift & 0xFF);
    return encoded;
}

std::string key_of(const std::string& record)
{
    return record.empty() ? "" : record.substr(1, static_cast<unsigned char>(record.front()));
}

std::string value_of(const std::string& record)
{
    return record.substr(std::min(record.size(), key_of(record).size() + 1));
}

} // namespace

soak_store::soak_store(int nodes) : m_address(fakes::free_address())
{
    const std::size_t threads = threads_per_node * static_cast<std::size_t>(nodes);
    m_server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    m_server.set_keep_alive_max_count(1000000);
    m_server.set_keep_alive_timeout(60);
    m_server.set_tcp_nodelay(true);
    m_server.Post("/v1/log-append", [this](const Request& in, Response& out) { append(in, out); });
    m_server.Get("/v1/log-read", [this](const Request& in, Response& out) { read(in, out); });
    m_server.Get("/v1/log-newest", [this](const Request& in, Response& out) { newest(in, out); });
    m_server.bind_to_port(m_address.host, m_address.port);
    m_thread = std::make_unique<posix_thread>("store", [this] { m_server.listen_after_bind(); });
}

soak_store::~soak_store()
{
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    m_server.stop();
    m_thread.reset();
}

void soak_store::set_mode(mode value)
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_mode = value;
    m_changed.notify_all();
}

bool soak_store::is_up() const
{
    const std::lock_guard<mutex> lock(m_mutex);
    return m_mode == mode::up;
}

void soak_store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_topics[topic].push_back(static_cast<char>(key.size()) + key + value);
    m_changed.notify_all();
}

void soak_store::take_copy()
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_copy = m_topics;
}

void soak_store::drill()
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_topics = m_copy;
    ++m_epoch;
    m_changed.notify_all();
}

std::vector<std::string> soak_store::values(const std::string& topic, const std::string& key) const
{
    const std::lock_guard<mutex> lock(m_mutex);
    std::vector<std::string> found;
    const std::string prefix = static_cast<char>(key.size()) + key;
    if (const auto records = m_topics.find(topic); records != m_topics.end())
        for (const std::string& record : records->second)
            if (record.compare(0, prefix.size(), prefix) == 0)
                found.push_back(record.substr(prefix.size()));
    return found;
}

bool soak_store::has_record(const std::string& topic, const std::string& part) const
{
    const std::lock_guard<mutex> lock(m_mutex);
    const auto found = m_topics.find(topic);
    return found != m_topics.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const std::string& record) {
               return record.find(part) != std::string::npos;
           });
}

void soak_store::set_epoch(Response& response) const
{
    response.headers.erase("Store-Era");
    if (m_epoch > 0)
        response.set_header("Store-Era", std::to_string(m_epoch));
}

bool soak_store::admit(Response& response)
{
    mode current;
    {
        const std::lock_guard<mutex> lock(m_mutex);
        current = m_mode;
        set_epoch(response);
        if (current == mode::silent)
            m_changed.wait_for(m_mutex, silence);
    }
    if (current == mode::rejecting || current == mode::silent)
        response.status = 503;
    return current == mode::up || current == mode::losing_answers;
}

void soak_store::append(const Request& request, Response& response)
{
    if (!admit(response))
        return;
    const std::lock_guard<mutex> lock(m_mutex);
    set_epoch(response);
    auto& records = m_topics[request.get_param_value("topic")];
    if (number(request, "at", static_cast<std::int64_t>(records.size())) !=
        static_cast<std::int64_t>(records.size())) {
        response.status = 412;
        response.set_content(json{{"end", records.size()}}.dump(), "application/json");
        return;
    }
    const std::size_t offset = records.size();
    records.push_back(request.body.substr(std::min<std::size_t>(4, request.body.size())));
    m_changed.notify_all();
    if (m_mode == mode::losing_answers)
        response.status = 500;
    else
        response.set_content(json{{"offset", offset}, {"end", offset + 1}}.dump(),
                             "application/json");
}

void soak_store::read(const Request& request, Response& response)
{
    if (!admit(response))
        return;
    const absl::Time until = absl::Now() + absl::Milliseconds(number(request, "wait_ms", 0));
    const auto from = static_cast<std::size_t>(number(request, "from", 0));
    const std::lock_guard<mutex> lock(m_mutex);
    const std::string topic = request.get_param_value("topic");
    while ((m_topics[topic].size() == from || (m_epoch == 0 && m_topics[topic].size() < from)) &&
           !m_stopping && absl::Now() < until)
        m_changed.wait_for(m_mutex, until - absl::Now());
    set_epoch(response);
    const auto& records = m_topics[topic];
    if (m_epoch > 0 && from > records.size()) {
        response.status = 410;
        response.set_content(json{{"first", 0}}.dump(), "application/json");
        return;
    }
    std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
    for (std::size_t i = from; i < records.size(); ++i)
        body += big_endian(records[i].size(), 4) + records[i];
    response.set_content(body, "application/octet-stream");
}

void soak_store::newest(const Request& request, Response& response)
{
    if (!admit(response))
        return;
    const std::lock_guard<mutex> lock(m_mutex);
    set_epoch(response);
    const auto& records = m_topics[request.get_param_value("topic")];
    std::map<std::string, std::size_t> latest;
    for (std::size_t i = 0; i < records.size(); ++i)
        latest[key_of(records[i])] = i;
    json items = json::array();
    for (const auto& [key, offset] : latest)
        if (!value_of(records[offset]).empty())
            items.push_back({{"key", key},
                             {"value", absl::Base64Escape(value_of(records[offset]))},
                             {"offset", offset}});
    response.set_content(
        json{{"items", items}, {"has_more", false}, {"end", records.size()}}.dump(),
        "application/json");
}

} // namespace chivedeal::soak
