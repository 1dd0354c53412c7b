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

constexpr std::size_t read_buffer_bytes = 16 * 1024;
// Limits the data that is read from a connection before other connections and timers get their
// turn.
constexpr int max_reads_per_event = 16;
// Unread head or chunk header of a response, as it has to be parsed as a whole.
constexpr std::size_t max_unparsed_bytes = 128 * 1024;
// Late responses to other requests are read up to this size, so that the connection can be used on.
constexpr std::size_t max_discarded_bytes = 1024 * 1024;
// Idle connections are closed this long before the endpoint would close them. A request sent while
// the endpoint closes the connection may be lost, and not every route allows a retry.
constexpr absl::Duration idle_close_margin = absl::Milliseconds(700);

// Whether the end of the connection is also the end of a response without a length. An endpoint
// that crashes may end the connection in the same way, so a success counts only if the endpoint
// could read the whole request.
bool ends_response(const endpoint_connection& connection)
{
    const bool request_written = connection.output_sent_bytes == connection.output.size();
    const bool is_success =
        connection.reader->has_head() && connection.reader->head().status / 100 == 2;
    return !connection.write_failed && (request_written || !is_success);
}

} // namespace

endpoint_side::~endpoint_side()
{
    for (auto& [id, connection] : m_connections)
        if (connection->descriptor >= 0)
            ::close(connection->descriptor);
}

bool endpoint_side::send(endpoint_request request, absl::Time now)
{
    endpoint_connection* connection = take_idle(request.endpoint, request.address, now);
    if (connection == nullptr && m_open_counts[request.endpoint] < request.max_connections)
        connection = open(request.endpoint, request.address, now);
    if (connection == nullptr)
        return false;
    start_exchange(*connection, std::move(request), now);
    return true;
}

endpoint_connection* endpoint_side::take_idle(const endpoint_id& endpoint, const address& remote,
                                              absl::Time now)
{
    auto& idle_ids = m_idle_ids[endpoint];
    while (!idle_ids.empty()) {
        const auto found = m_connections.find(idle_ids.back());
        idle_ids.pop_back();
        if (found == m_connections.end() || found->second->closed)
            continue;
        endpoint_connection& connection = *found->second;
        if (now < connection.idle_deadline && connection.address == remote)
            return &connection;
        close(connection);
    }
    return nullptr;
}

endpoint_connection* endpoint_side::open(const endpoint_id& endpoint, const address& remote,
                                         absl::Time now)
{
    if (!make_room())
        return nullptr;
    const auto descriptor = begin_connect(remote);
    if (!is_ok(descriptor))
        return nullptr;
    auto connection = std::make_unique<endpoint_connection>();
    connection->id = id_mark | m_next_id++;
    connection->descriptor = get_value(descriptor);
    connection->endpoint = endpoint;
    connection->address = remote;
    connection->connect_started = now;
    m_poller.add(connection->descriptor, connection->id, true, true);
    ++m_open_counts[endpoint];
    endpoint_connection* opened = connection.get();
    m_connections.emplace(opened->id, std::move(connection));
    return opened;
}

// Returns false if there are too many connections and none is idle.
bool endpoint_side::make_room()
{
    if (m_connections.size() - m_closed_ids.size() < m_options.max_connections)
        return true;
    for (const auto& [endpoint, idle_ids] : m_idle_ids)
        for (const std::uint64_t id : idle_ids)
            if (const auto found = m_connections.find(id);
                found != m_connections.end() && !found->second->closed) {
                close(*found->second);
                return true;
            }
    return false;
}

bool endpoint_side::probe(const endpoint_id& endpoint, const address& remote, absl::Time now)
{
    return open(endpoint, remote, now) != nullptr;
}

void endpoint_side::start_exchange(endpoint_connection& connection, endpoint_request request,
                                   absl::Time now)
{
    connection.exchange_id = request.exchange_id;
    connection.expected_id = std::move(request.expected_id);
    connection.is_head_request = request.is_head_request;
    connection.output = std::move(request.bytes);
    connection.output_sent_bytes = 0;
    connection.input.clear();
    connection.head_processed = false;
    connection.discarding_response = false;
    connection.discarded_bytes = 0;
    connection.paused = false;
    connection.reader = std::make_unique<response_reader>(connection.is_head_request);
    m_connection_id_by_exchange[connection.exchange_id] = connection.id;
    if (connection.current_state == endpoint_connection::state::idle) {
        connection.current_state = endpoint_connection::state::busy;
        // The poller reports a connection that failed until it is closed.
        if (!write_output(connection, now))
            update_interest(connection);
    }
}

void endpoint_side::cancel(std::uint64_t exchange_id)
{
    const auto found = m_connection_id_by_exchange.find(exchange_id);
    if (found == m_connection_id_by_exchange.end())
        return;
    const auto connection = m_connections.find(found->second);
    m_connection_id_by_exchange.erase(found);
    if (connection != m_connections.end())
        close(*connection->second);
}

void endpoint_side::abandon_unsent(const std::function<bool(const endpoint_id&)>& is_affected,
                                   absl::Time now)
{
    std::vector<std::uint64_t> affected_ids;
    for (const auto& [id, connection] : m_connections) {
        const bool is_connecting =
            connection->current_state == endpoint_connection::state::connecting;
        const bool is_unwritten =
            is_connecting || (connection->exchange_id != 0 && connection->output_sent_bytes == 0 &&
                              !connection->output.empty());
        if (!connection->closed && is_unwritten && is_affected(connection->endpoint))
            affected_ids.push_back(id);
    }
    for (const std::uint64_t id : affected_ids) {
        const auto found = m_connections.find(id);
        if (found != m_connections.end() && !found->second->closed)
            fail_connect(*found->second, probe_result::unknown, "zone evacuated", now);
    }
}

void endpoint_side::pause(std::uint64_t exchange_id, bool paused)
{
    const auto found = m_connection_id_by_exchange.find(exchange_id);
    if (found == m_connection_id_by_exchange.end())
        return;
    endpoint_connection& connection = *m_connections.at(found->second);
    if (connection.closed || connection.paused == paused)
        return;
    connection.paused = paused;
    m_poller.change(connection.descriptor, connection.id, !connection.paused,
                    connection.wants_write);
}

void endpoint_side::forget(const endpoint_id& endpoint)
{
    const auto idle_entry = m_idle_ids.find(endpoint);
    if (idle_entry == m_idle_ids.end())
        return;
    const std::vector<std::uint64_t> idle_ids = std::move(idle_entry->second);
    m_idle_ids.erase(idle_entry);
    for (const std::uint64_t id : idle_ids) {
        const auto found = m_connections.find(id);
        if (found != m_connections.end())
            close(*found->second);
    }
}

void endpoint_side::on_ready(std::uint64_t id, bool readable, bool writable, bool broken,
                             absl::Time now)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || found->second->closed)
        return;
    endpoint_connection& connection = *found->second;
    // Input on an idle connection belongs to no request; usually the endpoint closed it.
    if (connection.current_state == endpoint_connection::state::idle)
        return close(connection);
    if (connection.current_state == endpoint_connection::state::connecting) {
        if (!writable && !broken)
            return;
        const int failure = connect_error(connection.descriptor);
        if (failure != 0)
            return fail_connect(
                connection, failure == ECONNREFUSED ? probe_result::refused : probe_result::unknown,
                "could not connect", now);
        if (connection.exchange_id == 0)
            return finish_probe(connection, now);
        connection.current_state = endpoint_connection::state::busy;
    }
    if (writable && connection.output_sent_bytes < connection.output.size())
        flush(connection, now);
    if (!connection.closed && (readable || broken) && !connection.paused)
        read_all(connection, now);
}

void endpoint_side::flush(endpoint_connection& connection, absl::Time now)
{
    // The endpoint may have responded before it closed the connection, so read what it sent.
    if (!write_output(connection, now))
        read_all(connection, now);
}

bool endpoint_side::write_output(endpoint_connection& connection, absl::Time now)
{
    while (connection.output_sent_bytes < connection.output.size()) {
        const ssize_t sent_bytes =
            ::send(connection.descriptor, connection.output.data() + connection.output_sent_bytes,
                   connection.output.size() - connection.output_sent_bytes, MSG_NOSIGNAL);
        if (sent_bytes > 0) {
            const bool is_first_byte = connection.output_sent_bytes == 0;
            connection.output_sent_bytes += static_cast<std::size_t>(sent_bytes);
            if (is_first_byte)
                m_handler.on_request_sent(connection.exchange_id, now);
            if (connection.closed)
                return true;
            continue;
        }
        if (sent_bytes < 0 && errno == EINTR)
            continue;
        if (sent_bytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        connection.write_failed = true;
        return false;
    }
    const bool is_written =
        !connection.output.empty() && connection.output_sent_bytes == connection.output.size();
    if (is_written)
        std::string().swap(connection.output), connection.output_sent_bytes = 0;
    update_interest(connection);
    if (is_written)
        m_handler.on_request_written(connection.exchange_id, now);
    return true;
}

void endpoint_side::update_interest(endpoint_connection& connection)
{
    const bool wants_write = connection.output_sent_bytes < connection.output.size();
    if (wants_write == connection.wants_write)
        return;
    connection.wants_write = wants_write;
    m_poller.change(connection.descriptor, connection.id, !connection.paused, wants_write);
}

void endpoint_side::read_all(endpoint_connection& connection, absl::Time now)
{
    std::array<char, read_buffer_bytes> buffer;
    for (int reads = 0;
         reads < max_reads_per_event && !connection.closed &&
         connection.current_state == endpoint_connection::state::busy && !connection.paused;
         ++reads) {
        const ssize_t received_bytes = recv(connection.descriptor, buffer.data(), buffer.size(), 0);
        if (received_bytes > 0) {
            connection.input.append(buffer.data(), static_cast<std::size_t>(received_bytes));
            process_input(connection, now);
            if (static_cast<std::size_t>(received_bytes) < buffer.size())
                return;
            continue;
        }
        if (received_bytes < 0 && errno == EINTR)
            continue;
        if (received_bytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return;
        if (received_bytes == 0) {
            if (ends_response(connection))
                connection.reader->on_eof();
            if (connection.reader->complete() && !connection.discarding_response)
                return finish_exchange(connection, now);
            return fail_attempt(connection,
                                connection.write_failed
                                    ? "connection failed before the request was written"
                                    : "connection closed before the response was complete",
                                now);
        }
        return fail_attempt(connection, "connection failed", now);
    }
}

void endpoint_side::process_input(endpoint_connection& connection, absl::Time now)
{
    while (!connection.closed && connection.current_state == endpoint_connection::state::busy &&
           !connection.input.empty()) {
        std::string body;
        const std::size_t consumed_bytes = connection.reader->feed(connection.input, body);
        connection.input.erase(0, consumed_bytes);
        if (connection.reader->failed())
            return fail_attempt(connection, "malformed response", now,
                                attempt_failure::malformed_response);
        if (connection.reader->has_head() && !connection.head_processed) {
            connection.head_processed = true;
            if (const char* fault = process_head(connection, now))
                return fail_attempt(connection, fault, now, attempt_failure::malformed_response);
        }
        if (!connection.closed && !connection.discarding_response && !body.empty())
            m_handler.on_response_body(connection.exchange_id, body, now);
        if (connection.closed)
            return;
        if (connection.discarding_response)
            connection.discarded_bytes += consumed_bytes;
        if (connection.discarded_bytes > max_discarded_bytes ||
            connection.input.size() > max_unparsed_bytes)
            return fail_attempt(connection, "response without end", now,
                                attempt_failure::malformed_response);
        if (connection.reader->complete()) {
            if (!connection.discarding_response)
                return finish_exchange(connection, now);
            // This was a late response to an earlier request; the expected one follows.
            connection.reader = std::make_unique<response_reader>(connection.is_head_request);
            connection.head_processed = false;
            connection.discarding_response = false;
            continue;
        }
        if (consumed_bytes == 0)
            return;
    }
}

const char* endpoint_side::process_head(endpoint_connection& connection, absl::Time now)
{
    http_response_head head = connection.reader->head();
    const response_matcher::match match =
        connection.matcher.on_head(head, m_options.id_field, connection.expected_id);
    switch (match) {
    case response_matcher::match::awaited:
    case response_matcher::match::probably_awaited:
        head.is_attributed = match == response_matcher::match::awaited;
        m_handler.on_response_head(connection.exchange_id, head, now);
        return nullptr;
    case response_matcher::match::earlier:
        // Without a length, the response would take in the awaited one that follows.
        if (head.ends_with_connection)
            return "response to another request without a length";
        connection.discarding_response = true;
        return nullptr;
    case response_matcher::match::unknown:
        break;
    }
    return "response that names no request or several";
}

void endpoint_side::finish_exchange(endpoint_connection& connection, absl::Time now)
{
    const std::uint64_t exchange_id = connection.exchange_id;
    m_connection_id_by_exchange.erase(exchange_id);
    connection.exchange_id = 0;
    // The connection can't be reused if bytes follow the response, as they belong to no request, or
    // if the response came before the whole request was written, as its rest is still to be sent.
    const bool reusable = connection.reader->keep_alive() && connection.input.empty() &&
                          connection.output_sent_bytes == connection.output.size();
    const absl::Duration idle_timeout =
        connection.reader->keep_alive_timeout().value_or(m_options.idle_timeout);
    connection.reader.reset();
    if (reusable && idle_timeout > idle_close_margin)
        keep_idle(connection, idle_timeout, now);
    else
        close(connection);
    m_handler.on_response_end(exchange_id, now);
}

void endpoint_side::keep_idle(endpoint_connection& connection, absl::Duration idle_timeout,
                              absl::Time now)
{
    connection.current_state = endpoint_connection::state::idle;
    connection.idle_deadline = now + idle_timeout - idle_close_margin;
    m_idle_ids[connection.endpoint].push_back(connection.id);
}

void endpoint_side::finish_probe(endpoint_connection& connection, absl::Time now)
{
    keep_idle(connection, m_options.idle_timeout, now);
    update_interest(connection);
    m_handler.on_probe_ended(connection.endpoint, probe_result::connected, now);
}

void endpoint_side::fail_attempt(endpoint_connection& connection, const char* reason,
                                 absl::Time now, attempt_failure failure)
{
    const std::uint64_t exchange_id = connection.exchange_id;
    const bool sent = connection.output_sent_bytes > 0 ||
                      (connection.output.empty() &&
                       connection.current_state != endpoint_connection::state::connecting);
    m_connection_id_by_exchange.erase(exchange_id);
    close(connection);
    m_handler.on_attempt_failed(exchange_id, sent ? failure : attempt_failure::not_sent, reason,
                                now);
}

void endpoint_side::fail_connect(endpoint_connection& connection, probe_result result,
                                 const char* reason, absl::Time now)
{
    if (connection.exchange_id != 0)
        return fail_attempt(connection, reason, now);
    close(connection);
    m_handler.on_probe_ended(connection.endpoint, result, now);
}

void endpoint_side::tick(absl::Time now)
{
    std::vector<std::uint64_t> timed_out_ids;
    for (auto& [id, connection] : m_connections) {
        if (connection->closed)
            continue;
        if (connection->current_state == endpoint_connection::state::connecting &&
            now - connection->connect_started > m_options.connect_timeout)
            timed_out_ids.push_back(id);
        else if (connection->current_state == endpoint_connection::state::idle &&
                 now >= connection->idle_deadline)
            close(*connection);
    }
    for (const std::uint64_t id : timed_out_ids) {
        const auto found = m_connections.find(id);
        if (found != m_connections.end() && !found->second->closed)
            fail_connect(*found->second, probe_result::unknown, "connect timed out", now);
    }
}

void endpoint_side::close(endpoint_connection& connection)
{
    if (connection.closed)
        return;
    connection.closed = true;
    m_poller.remove(connection.descriptor);
    ::close(connection.descriptor);
    connection.descriptor = -1;
    // An attempt that is cut off may have a long request left to write.
    std::string().swap(connection.output);
    connection.output_sent_bytes = 0;
    auto& open_count = m_open_counts[connection.endpoint];
    open_count = std::max(0, open_count - 1);
    if (connection.current_state == endpoint_connection::state::idle) {
        auto& idle_ids = m_idle_ids[connection.endpoint];
        idle_ids.erase(std::remove(idle_ids.begin(), idle_ids.end(), connection.id),
                       idle_ids.end());
    }
    m_closed_ids.push_back(connection.id);
}

void endpoint_side::sweep()
{
    for (const std::uint64_t id : m_closed_ids)
        m_connections.erase(id);
    m_closed_ids.clear();
}

} // namespace chivedeal::forward
