#ifndef FAKES_RAW_ENDPOINT_HPP
#define FAKES_RAW_ENDPOINT_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/forward/sockets.hpp"
#include "fakes/free_address.hpp"
#include "fakes/raw_response.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::fakes {

/// An endpoint that sends any bytes as its response, for faults that an HTTP library can't produce.
/// One thread serves all connections.
class raw_endpoint
{
public:
    /// Returns the response to a request, whose head and body are in the text.
    using handler = std::function<raw_response(const std::string& request)>;

    struct options
    {
        /// Without it, the endpoint responds to the head of a request and leaves the rest unread.
        bool reads_bodies = true;
    };

    explicit raw_endpoint(handler respond) : raw_endpoint(std::move(respond), options{}) {}

    raw_endpoint(handler respond, options behaviour)
        : m_address(free_address()), m_respond(std::move(respond)), m_options(behaviour)
    {
        const auto listener = forward::listen_tcp(m_address);
        m_listens = is_ok(listener);
        m_listener = m_listens ? get_value(listener) : -1;
        if (!m_options.reads_bodies)
            limit_buffers();
        m_thread = std::make_unique<posix_thread>("endpoint", [this] { run(); });
    }

    ~raw_endpoint()
    {
        m_stopping = true;
        m_thread.reset();
        crash();
    }
    raw_endpoint(const raw_endpoint&) = delete;
    raw_endpoint& operator=(const raw_endpoint&) = delete;

    const address& listen_address() const { return m_address; }
    int request_count() const { return m_request_count; }
    /// Number of streams of events that are sent to their end.
    int sent_stream_count() const { return m_sent_stream_count; }
    bool is_listening() const { return m_listens; }

private:
    // Also the pause between the bytes of a slow response.
    static constexpr int poll_timeout_ms = 20;
    static constexpr std::size_t min_send_bytes = 64 * 1024;
    static constexpr int receive_buffer_bytes = 64 * 1024;
    static constexpr int max_segment_bytes = 1448;

    // The buffers of a loopback connection otherwise take in megabytes that nobody reads.
    void limit_buffers()
    {
        setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                   sizeof receive_buffer_bytes);
        setsockopt(m_listener, IPPROTO_TCP, TCP_MAXSEG, &max_segment_bytes,
                   sizeof max_segment_bytes);
    }

    void run()
    {
        while (!m_stopping) {
            std::vector<pollfd> waiting;
            if (m_listens)
                waiting.push_back({.fd = m_listener, .events = POLLIN, .revents = 0});
            for (const auto& [descriptor, input] : m_inputs)
                waiting.push_back({.fd = descriptor, .events = POLLIN, .revents = 0});
            for (const int descriptor : m_endless)
                waiting.push_back({.fd = descriptor, .events = POLLOUT, .revents = 0});
            poll(waiting.data(), waiting.size(), poll_timeout_ms);
            for (const pollfd& ready : waiting)
                handle(ready);
            for (const int descriptor : m_slow)
                (void)send(descriptor, m_filler.data(), m_filler.size(),
                           MSG_NOSIGNAL | MSG_DONTWAIT);
            send_events();
        }
    }

    void handle(const pollfd& ready)
    {
        if (ready.revents == 0)
            return;
        if (ready.fd == m_listener) {
            if (const int accepted = accept(m_listener, nullptr, nullptr); accepted >= 0)
                m_inputs[accepted];
        }
        else if (m_inputs.count(ready.fd) > 0) {
            receive(ready.fd);
        }
        else if (send(ready.fd, m_filler.data(), m_filler.size(), MSG_NOSIGNAL | MSG_DONTWAIT) <=
                     0 &&
                 (ready.revents & (POLLERR | POLLHUP)) != 0) {
            m_endless.erase(std::find(m_endless.begin(), m_endless.end(), ready.fd));
            close(ready.fd);
        }
    }

    void receive(int descriptor)
    {
        std::array<char, 4096> buffer;
        const ssize_t received = recv(descriptor, buffer.data(), buffer.size(), 0);
        if (received <= 0)
            return drop(descriptor);
        std::string& input = m_inputs[descriptor];
        input.append(buffer.data(), static_cast<std::size_t>(received));
        const std::size_t head_end = input.find("\r\n\r\n");
        const std::size_t length_at = input.find("Content-Length: ");
        const std::size_t length =
            length_at == std::string::npos ? 0 : std::stoul(input.substr(length_at + 16));
        if (head_end == std::string::npos ||
            (m_options.reads_bodies && input.size() < head_end + 4 + length))
            return;
        ++m_request_count;
        const raw_response response = m_respond(std::exchange(input, {}));
        (void)send(descriptor, response.bytes.data(), response.bytes.size(), MSG_NOSIGNAL);
        switch (response.then) {
        case raw_response::next::keep_open:
            return;
        case raw_response::next::close:
            return drop(descriptor);
        case raw_response::next::end_output:
            shutdown(descriptor, SHUT_WR);
            [[fallthrough]];
        case raw_response::next::go_silent:
            m_inputs.erase(descriptor);
            m_silent.push_back(descriptor);
            return;
        case raw_response::next::crash:
            return crash();
        case raw_response::next::send_forever:
            // Many short sends would be slower than the reader.
            m_filler.clear();
            while (m_filler.size() < min_send_bytes)
                m_filler += response.filler;
            m_inputs.erase(descriptor);
            m_endless.push_back(descriptor);
            return;
        case raw_response::next::send_slowly:
            m_filler = response.filler;
            m_inputs.erase(descriptor);
            m_slow.push_back(descriptor);
            return;
        case raw_response::next::send_events:
            m_event_streams[descriptor] = response;
        }
    }

    void send_events()
    {
        for (auto entry = m_event_streams.begin(); entry != m_event_streams.end();) {
            auto& [descriptor, stream] = *entry;
            const std::string& bytes = stream.repetitions > 0 ? stream.filler : stream.last;
            (void)send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (stream.repetitions-- > 0) {
                ++entry;
                continue;
            }
            ++m_sent_stream_count;
            entry = m_event_streams.erase(entry);
        }
    }

    void drop(int descriptor)
    {
        m_inputs.erase(descriptor);
        m_event_streams.erase(descriptor);
        close(descriptor);
    }

    void crash()
    {
        m_listens = false;
        if (const int listener = std::exchange(m_listener, -1); listener >= 0)
            close(listener);
        m_event_streams.clear();
        for (const auto& [descriptor, input] : std::exchange(m_inputs, {}))
            close(descriptor);
        for (const int descriptor : std::exchange(m_endless, {}))
            close(descriptor);
        for (const int descriptor : std::exchange(m_silent, {}))
            close(descriptor);
        for (const int descriptor : std::exchange(m_slow, {}))
            close(descriptor);
    }

    address m_address;
    handler m_respond;
    options m_options;
    int m_listener = -1;
    std::atomic<bool> m_listens = false;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_request_count = 0;
    std::atomic<int> m_sent_stream_count = 0;
    std::map<int, std::string> m_inputs;
    std::vector<int> m_endless;
    std::vector<int> m_silent;
    std::vector<int> m_slow;
    std::string m_filler;
    // What is left to send on connections that are also in `m_inputs`.
    std::map<int, raw_response> m_event_streams;
    std::unique_ptr<posix_thread> m_thread;
};

} // namespace chivedeal::fakes

#endif
