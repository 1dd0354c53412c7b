#include "chivedeal/core/control_traffic.hpp"

#include "chivedeal/core/bounded_http_client.hpp"
#include "chivedeal/core/metrics.hpp"
#include "chivedeal/core/posix_thread.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>

using namespace chivedeal;

namespace {

constexpr const char* canned_answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";

// Takes one connection, reads to the end of a request whose body ends with '!', and answers.
class raw_server
{
public:
    raw_server() : m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof bound;
        auto* generic = reinterpret_cast<sockaddr*>(&bound);
        EXPECT_EQ(bind(m_listener, generic, size), 0);
        EXPECT_EQ(listen(m_listener, 1), 0);
        EXPECT_EQ(getsockname(m_listener, generic, &size), 0);
        m_port = ntohs(bound.sin_port);
    }

    ~raw_server() { close(m_listener); }

    void serve_one()
    {
        const int connection = accept(m_listener, nullptr, nullptr);
        char buffer[1024];
        while (request.empty() || request.back() != '!') {
            const ssize_t got = read(connection, buffer, sizeof buffer);
            if (got <= 0)
                break;
            request.append(buffer, static_cast<std::size_t>(got));
        }
        const std::string answer = canned_answer;
        EXPECT_EQ(write(connection, answer.data(), answer.size()),
                  static_cast<ssize_t>(answer.size()));
        close(connection);
    }

    int port() const { return m_port; }

    std::string request;

private:
    int m_listener;
    int m_port = 0;
};

} // namespace

// Guards against a control budget that leaves out heads of messages, or books them wrongly.
TEST(control_traffic, counts_the_bytes_on_the_connection)
{
    metrics counters;
    control_traffic traffic(counters);
    raw_server server;
    {
        const posix_thread thread("server", [&] { server.serve_one(); });
        bounded_http_client client(
            {.host = "127.0.0.1", .port = static_cast<std::uint16_t>(server.port())});
        traffic.watch(client, control_purpose::log_append);
        ASSERT_TRUE(client.Post("/log/control", "records!", "application/json"));
    }
    const auto counted = [&](const std::string& labels) {
        return counters.value("chivedeal_control_bytes_total{" + labels + "}");
    };
    EXPECT_EQ(counted(R"(purpose="log_append",direction="sent")"),
              static_cast<double>(server.request.size()));
    EXPECT_EQ(counted(R"(purpose="log_append",direction="received")"),
              static_cast<double>(std::string(canned_answer).size()));
    EXPECT_EQ(counted(R"(purpose="log_read",direction="sent")"), 0);
}
