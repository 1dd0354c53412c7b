#include "chivedeal/forward/endpoint_side.hpp"

#include "chivedeal/forward/endpoint_listener.hpp"
#include "chivedeal/forward/http_fields.hpp"
#include "chivedeal/forward/poller.hpp"
#include "chivedeal/forward/sockets.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace chivedeal::forward {

namespace {

constexpr std::size_t read_bytes = 16 * 1024;
// An idle connection is left this long before the endpoint closes it: a request that crosses the
// close can't be repeated on every route.
constexpr absl::Duration idle_margin = absl::Milliseconds(700);

} // namespace

endpoint_side::~endpoint_side()
{
    for (auto& [id, one] : m_connections)
        if (one->descriptor >= 0)
            ::close(one->descriptor);
}

bool endpoint_side::send(endpoint_request request, absl::Time now)
{
    endpoint_connection* one = take_idle(request.endpoint, request.address, now);
    if (one == nullptr)
        one = open(request, now);
    if (one == nullptr)
        return false;
    begin(*one, std::move(request), now);
    return true;
}

endpoint_connection* endpoint_side::take_idle(const endpoint_id& endpoint, const address& remote,
                                              absl::Time now)
{
    auto& idle = m_idle[endpoint];
    while (!idle.empty()) {
        const auto found = m_connections.find(idle.back());
        idle.pop_back();
        if (found == m_connections.end() || found->second->dead)
            continue;
        endpoint_connection& one = *found->second;
        if (now < one.idle_until && one.address == remote)
            return &one;
        close(one);
    }
    return nullptr;
}

endpoint_connection* endpoint_side::open(const endpoint_request& request, absl::Time now)
{
    int& open = m_open[request.endpoint];
    if (open >= request.max_connections)
        return nullptr;
    const auto descriptor = begin_connect(request.address);
    if (!is_ok(descriptor))
        return nullptr;
    auto one = std::make_unique<endpoint_connection>();
    one->id = id_mark | m_next++;
    one->descriptor = get_value(descriptor);
    one->endpoint = request.endpoint;
    one->address = request.address;
    one->started = now;
    m_poller.add(one->descriptor, one->id, true, true);
    ++open;
    endpoint_connection* opened = one.get();
    m_connections.emplace(opened->id, std::move(one));
    return opened;
}

void endpoint_side::begin(endpoint_connection& one, endpoint_request request, absl::Time now)
{
    one.exchange = request.exchange;
    one.expected_id = std::move(request.expected_id);
    one.is_head_request = request.is_head_request;
    one.out = std::move(request.bytes);
    one.out_done = 0;
    one.in.clear();
    one.announced_head = false;
    one.skipping = false;
    one.paused = false;
    one.reader = std::make_unique<response_reader>(one.is_head_request);
    m_by_exchange[one.exchange] = one.id;
    if (one.current == endpoint_connection::state::idle) {
        one.current = endpoint_connection::state::busy;
        flush(one, now);
    }
}

void endpoint_side::cancel(std::uint64_t exchange)
{
    const auto found = m_by_exchange.find(exchange);
    if (found == m_by_exchange.end())
        return;
    const auto connection = m_connections.find(found->second);
    m_by_exchange.erase(found);
    if (connection != m_connections.end())
        close(*connection->second);
}

void endpoint_side::pause(std::uint64_t exchange, bool paused)
{
    const auto found = m_by_exchange.find(exchange);
    if (found == m_by_exchange.end())
        return;
    endpoint_connection& one = *m_connections.at(found->second);
    if (one.dead || one.paused == paused)
        return;
    one.paused = paused;
    m_poller.change(one.descriptor, one.id, !one.paused, one.wants_write);
}

void endpoint_side::forget(const endpoint_id& endpoint)
{
    const auto idle = m_idle.find(endpoint);
    if (idle == m_idle.end())
        return;
    const std::vector<std::uint64_t> connections = std::move(idle->second);
    m_idle.erase(idle);
    for (const std::uint64_t id : connections) {
        const auto found = m_connections.find(id);
        if (found != m_connections.end())
            close(*found->second);
    }
}

void endpoint_side::on_ready(std::uint64_t id, bool readable, bool writable, bool broken,
                             absl::Time now)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || found->second->dead)
        return;
    endpoint_connection& one = *found->second;
    // What an idle connection says belongs to no request; most often it is its end.
    if (one.current == endpoint_connection::state::idle)
        return close(one);
    if (one.current == endpoint_connection::state::connecting) {
        if (!writable && !broken)
            return;
        if (connect_failure(one.descriptor) != 0)
            return lose(one, "connection refused", now);
        one.current = endpoint_connection::state::busy;
    }
    if (writable && one.out_done < one.out.size())
        flush(one, now);
    if (!one.dead && (readable || broken) && !one.paused)
        read_all(one, now);
}

void endpoint_side::flush(endpoint_connection& one, absl::Time now)
{
    while (one.out_done < one.out.size()) {
        const ssize_t size = ::send(one.descriptor, one.out.data() + one.out_done,
                                    one.out.size() - one.out_done, MSG_NOSIGNAL);
        if (size > 0) {
            const bool first = one.out_done == 0;
            one.out_done += static_cast<std::size_t>(size);
            if (first)
                m_handler.on_request_sent(one.exchange, now);
            if (one.dead)
                return;
            continue;
        }
        if (size < 0 && errno == EINTR)
            continue;
        if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        // The endpoint may have answered before it closed; reading tells.
        return read_all(one, now);
    }
    if (one.out_done == one.out.size())
        std::string().swap(one.out), one.out_done = 0;
    update_interest(one);
}

void endpoint_side::update_interest(endpoint_connection& one)
{
    const bool write = one.out_done < one.out.size();
    if (write == one.wants_write)
        return;
    one.wants_write = write;
    m_poller.change(one.descriptor, one.id, !one.paused, write);
}

void endpoint_side::read_all(endpoint_connection& one, absl::Time now)
{
    std::array<char, read_bytes> buffer;
    while (!one.dead && one.current == endpoint_connection::state::busy && !one.paused) {
        const ssize_t size = recv(one.descriptor, buffer.data(), buffer.size(), 0);
        if (size > 0) {
            one.in.append(buffer.data(), static_cast<std::size_t>(size));
            process(one, now);
            if (static_cast<std::size_t>(size) < buffer.size())
                return;
            continue;
        }
        if (size < 0 && errno == EINTR)
            continue;
        if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return;
        if (size == 0) {
            one.reader->on_eof();
            if (one.reader->complete() && !one.skipping)
                return finish(one, now);
            return lose(one, "connection closed", now);
        }
        return lose(one, "connection reset", now);
    }
}

void endpoint_side::process(endpoint_connection& one, absl::Time now)
{
    while (!one.dead && one.current == endpoint_connection::state::busy && !one.in.empty()) {
        std::string body;
        const std::size_t taken = one.reader->feed(one.in, body);
        one.in.erase(0, taken);
        if (one.reader->failed())
            return lose(one, "malformed answer", now);
        if (one.reader->has_head() && !one.announced_head) {
            one.announced_head = true;
            const std::string* id = find_field(one.reader->head().fields, m_options.id_field);
            one.skipping = id != nullptr && *id != one.expected_id.str();
            if (!one.skipping)
                m_handler.on_answer_head(one.exchange, one.reader->head(), now);
        }
        if (!one.dead && !one.skipping && !body.empty())
            m_handler.on_answer_body(one.exchange, body, now);
        if (one.dead)
            return;
        if (one.reader->complete()) {
            if (!one.skipping)
                return finish(one, now);
            // A late answer to an earlier request; the one that is due follows.
            one.reader = std::make_unique<response_reader>(one.is_head_request);
            one.announced_head = false;
            one.skipping = false;
            continue;
        }
        if (taken == 0)
            return;
    }
}

void endpoint_side::finish(endpoint_connection& one, absl::Time now)
{
    const std::uint64_t exchange = one.exchange;
    m_by_exchange.erase(exchange);
    one.exchange = 0;
    ++one.answers;
    // Bytes beyond the answer belong to no request, and an answer that came before the whole
    // request was written leaves its rest on the connection.
    const bool reusable =
        one.reader->keep_alive() && one.in.empty() && one.out_done == one.out.size();
    const absl::Duration kept = one.reader->keep_alive_timeout().value_or(m_options.idle_timeout);
    one.reader.reset();
    if (reusable && kept > idle_margin) {
        one.current = endpoint_connection::state::idle;
        one.idle_until = now + kept - idle_margin;
        m_idle[one.endpoint].push_back(one.id);
    }
    else {
        close(one);
    }
    m_handler.on_answer_end(exchange, now);
}

void endpoint_side::lose(endpoint_connection& one, const char* reason, absl::Time now)
{
    const std::uint64_t exchange = one.exchange;
    const bool sent = one.out_done > 0 ||
                      (one.out.empty() && one.current != endpoint_connection::state::connecting);
    m_by_exchange.erase(exchange);
    close(one);
    if (exchange != 0)
        m_handler.on_attempt_lost(exchange, sent, reason, now);
}

void endpoint_side::tick(absl::Time now)
{
    std::vector<std::uint64_t> late;
    for (auto& [id, one] : m_connections) {
        if (one->dead)
            continue;
        if (one->current == endpoint_connection::state::connecting &&
            now - one->started > m_options.connect_timeout)
            late.push_back(id);
        else if (one->current == endpoint_connection::state::idle && now >= one->idle_until)
            close(*one);
    }
    for (const std::uint64_t id : late) {
        const auto found = m_connections.find(id);
        if (found != m_connections.end() && !found->second->dead)
            lose(*found->second, "connect timeout", now);
    }
}

void endpoint_side::close(endpoint_connection& one)
{
    if (one.dead)
        return;
    one.dead = true;
    m_poller.remove(one.descriptor);
    ::close(one.descriptor);
    one.descriptor = -1;
    auto& open = m_open[one.endpoint];
    open = std::max(0, open - 1);
    if (one.current == endpoint_connection::state::idle) {
        auto& idle = m_idle[one.endpoint];
        idle.erase(std::remove(idle.begin(), idle.end(), one.id), idle.end());
    }
    m_dead.push_back(one.id);
}

void endpoint_side::sweep()
{
    for (const std::uint64_t id : m_dead)
        m_connections.erase(id);
    m_dead.clear();
}

} // namespace chivedeal::forward
