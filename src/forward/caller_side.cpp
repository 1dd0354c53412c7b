#include "chivedeal/forward/caller_side.hpp"

#include "chivedeal/forward/caller_listener.hpp"
#include "chivedeal/forward/http_fields.hpp"
#include "chivedeal/forward/poller.hpp"
#include "chivedeal/forward/rejection.hpp"
#include "chivedeal/forward/sockets.hpp"
#include "chivedeal/guard/connection_activity.hpp"

#include "absl/strings/str_cat.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace chivedeal::forward {

namespace {

constexpr std::size_t read_buffer_bytes = 16 * 1024;
// Limits the data that is read from a connection, and the connections that are accepted, before
// other connections and timers get their turn.
constexpr int max_reads_per_event = 16;
constexpr int max_accepts_per_event = 128;
// Limits the pipelined requests that are processed before other connections get their turn.
constexpr int max_requests_per_turn = 16;
// Limits the pipelined input buffered until the response before it is written; further input stays
// in the kernel's socket buffer.
constexpr std::size_t max_pipelined_bytes = 16 * 1024;
// Memory of a connection without buffers, and of the parser of a request.
constexpr std::size_t connection_bytes = 4 * 1024;
constexpr std::size_t reader_bytes = 2 * 1024;
// The kernel's structures take about as much memory as the input they hold.
constexpr std::size_t kernel_overhead_factor = 2;
constexpr double min_reading_share = 0.25;
// Limits a chunk size, its extension and a trailer, for which the parser has no limit. They have to
// be complete before it consumes them.
constexpr std::size_t max_unparsed_bytes = 64 * 1024;
// Written bytes are erased from the front of the output only beyond this size, so that the rest
// isn't copied on every event.
constexpr std::size_t min_compact_bytes = 32 * 1024;
constexpr absl::Duration linger_timeout = absl::Seconds(1);
constexpr std::size_t max_retained_bytes = 4 * 1024;

std::size_t unsent_bytes(const caller_connection& connection)
{
    // The end of the output counts as a byte until the caller's host acknowledges it.
    const std::size_t in_kernel = unacknowledged_bytes(connection.descriptor);
    const std::size_t end = connection.lingering && in_kernel > 0 ? 1 : 0;
    return connection.output.size() - connection.output_sent_bytes + in_kernel - end;
}

std::size_t bytes_in_kernel(const caller_connection& connection, bool with_output)
{
    std::size_t bytes = 0;
    if (!connection.wants_read)
        bytes += unread_bytes(connection.descriptor) * kernel_overhead_factor;
    if (with_output && connection.delivery_pending)
        bytes += unacknowledged_bytes(connection.descriptor);
    return bytes;
}

void release_buffer(std::string& text) { std::string().swap(text); }

void release_capacity(std::string& text)
{
    if (text.empty() && text.capacity() > max_retained_bytes)
        std::string().swap(text);
}

} // namespace

caller_side::~caller_side()
{
    for (auto& [id, connection] : m_connections)
        if (connection->descriptor >= 0)
            ::close(connection->descriptor);
}

void caller_side::accept_all(int listener_socket, int listener, absl::Time now)
{
    // Unaccepted connections are reported again.
    for (int accepts = 0; accepts < max_accepts_per_event; ++accepts) {
        const int descriptor = accept_tcp(listener_socket, m_limits.idle_timeout);
        if (descriptor < 0)
            return;
        if (!make_room(now)) {
            ::close(descriptor);
            continue;
        }
        auto connection = std::make_unique<caller_connection>();
        connection->id = id_mark | m_next_id++;
        connection->descriptor = descriptor;
        connection->listener = listener;
        connection->last_activity = now;
        m_poller.add(descriptor, connection->id, true, false);
        account(*connection);
        m_connections.emplace(connection->id, std::move(connection));
    }
}

void caller_side::on_ready(std::uint64_t id, bool readable, bool writable, bool broken,
                           absl::Time now)
{
    caller_connection* connection = find(id);
    if (connection == nullptr)
        return;
    connection->requests_in_turn = 0;
    if (writable)
        flush(*connection, now);
    if (!connection->closed && (readable || broken))
        read_all(*connection, now);
    account(*connection);
}

void caller_side::read_all(caller_connection& connection, absl::Time now)
{
    std::array<char, read_buffer_bytes> buffer;
    for (int reads = 0; reads < max_reads_per_event && !connection.closed; ++reads) {
        const ssize_t received_bytes = recv(connection.descriptor, buffer.data(), buffer.size(), 0);
        if (received_bytes > 0) {
            if (connection.closing)
                continue;
            connection.last_activity = now;
            if (connection.input.empty() && !connection.awaiting_response && !connection.reader)
                connection.request_started = now;
            connection.input.append(buffer.data(), static_cast<std::size_t>(received_bytes));
            if (!connection.awaiting_response)
                process_input(connection, now);
            if (is_held_up(connection) && connection.input.size() >= max_pipelined_bytes)
                break;
            if (static_cast<std::size_t>(received_bytes) < buffer.size())
                break;
            continue;
        }
        if (received_bytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        if (received_bytes < 0 && errno == EINTR)
            continue;
        const bool was_awaiting_response = connection.awaiting_response;
        close(connection);
        if (was_awaiting_response)
            m_handler.on_caller_disconnected(connection.id, now);
        return;
    }
    if (!connection.closed)
        update_interest(connection);
}

// Whether buffered input waits for a response, for the caller to read one, or for its turn.
bool caller_side::is_held_up(const caller_connection& connection) const
{
    return connection.awaiting_response || connection.resumable ||
           (!connection.reader && connection.output_sent_bytes < connection.output.size());
}

void caller_side::resume(absl::Time now)
{
    for (const std::uint64_t id : std::exchange(m_resumable_ids, {})) {
        caller_connection* connection = find(id);
        if (connection == nullptr)
            continue;
        connection->resumable = false;
        connection->requests_in_turn = 0;
        process_input(*connection, now);
        if (!connection->closed)
            update_interest(*connection);
        account(*connection);
    }
}

void caller_side::process_input(caller_connection& connection, absl::Time now)
{
    if (connection.processing)
        return;
    connection.processing = true;
    process_requests(connection, now);
    connection.processing = false;
}

void caller_side::process_requests(caller_connection& connection, absl::Time now)
{
    while (!connection.closed && !is_held_up(connection) && !connection.closing &&
           !connection.input.empty()) {
        if (!connection.reader) {
            if (connection.requests_in_turn >= max_requests_per_turn)
                return process_later(connection);
            connection.reader = std::make_unique<request_reader>(
                request_reader::limits{.max_header_bytes = m_limits.max_header_bytes,
                                       .max_body_bytes = m_limits.max_body_bytes});
            connection.request_started = now;
            connection.sent_continue = false;
        }
        const std::size_t consumed_bytes = connection.reader->feed(connection.input);
        connection.input.erase(0, consumed_bytes);
        release_capacity(connection.input);
        if (connection.reader->current_state() == request_reader::state::failed)
            return reject(connection, connection.reader->failure_status(), now);
        if (connection.reader->current_state() == request_reader::state::body &&
            connection.input.size() > max_unparsed_bytes)
            return reject(connection, 431, now);
        if (!connection.sent_continue && connection.reader->expects_continue()) {
            connection.sent_continue = true;
            connection.output += "HTTP/1.1 100 Continue\r\n\r\n";
            flush(connection, now);
        }
        if (connection.reader->current_state() != request_reader::state::complete)
            return;
        http_request request = connection.reader->take();
        connection.reader.reset();
        ++connection.requests_in_turn;
        connection.awaiting_response = true;
        connection.keep_alive = request.keep_alive;
        connection.is_head_request = request.method == "HEAD";
        m_handler.on_request(connection.id, connection.listener, std::move(request),
                             connection.request_started, now);
    }
}

void caller_side::process_later(caller_connection& connection)
{
    if (!std::exchange(connection.resumable, true))
        m_resumable_ids.push_back(connection.id);
}

void caller_side::reject(caller_connection& connection, int status, absl::Time now)
{
    connection.reader.reset();
    connection.input.clear();
    connection.keep_alive = false;
    connection.awaiting_response = true;
    const rejection response = m_handler.make_rejection(status);
    respond(connection.id, {.status = status, .fields = response.fields}, response.body, now);
}

void caller_side::respond(std::uint64_t id, const http_response_head& head, std::string_view body,
                          absl::Time now)
{
    caller_connection* connection = find(id);
    if (connection == nullptr || !connection->awaiting_response)
        return;
    connection->keep_alive = connection->keep_alive && !closes_after_response(*connection);
    connection->output +=
        format_response(head, body, connection->keep_alive, connection->is_head_request);
    finish_response(*connection, now);
}

// Requests that were sent before the response are still processed.
bool caller_side::closes_after_response(const caller_connection& connection) const
{
    return m_draining && connection.input.empty() && unread_bytes(connection.descriptor) == 0;
}

void caller_side::begin_stream(std::uint64_t id, const http_response_head& head, absl::Time now)
{
    caller_connection* connection = find(id);
    if (connection == nullptr || !connection->awaiting_response)
        return;
    connection->keep_alive = connection->keep_alive && !m_draining;
    connection->chunked = true;
    connection->output += format_response_head(head);
    connection->output += "Transfer-Encoding: chunked\r\n";
    if (!connection->keep_alive)
        connection->output += "Connection: close\r\n";
    connection->output += "\r\n";
    flush(*connection, now);
}

void caller_side::send_stream(std::uint64_t id, std::string_view bytes, absl::Time now)
{
    caller_connection* connection = find(id);
    if (connection == nullptr || !connection->chunked || bytes.empty() ||
        connection->is_head_request)
        return;
    absl::StrAppend(&connection->output, absl::Hex(bytes.size()), "\r\n");
    connection->output.append(bytes);
    connection->output += "\r\n";
    flush(*connection, now);
    account(*connection);
}

void caller_side::end_stream(std::uint64_t id, absl::Time now)
{
    caller_connection* connection = find(id);
    if (connection == nullptr || !connection->chunked)
        return;
    // The response to a HEAD request ends with its head.
    if (!connection->is_head_request)
        connection->output += "0\r\n\r\n";
    connection->chunked = false;
    finish_response(*connection, now);
}

void caller_side::abort(std::uint64_t id)
{
    if (caller_connection* connection = find(id))
        close(*connection);
}

std::size_t caller_side::backlog(std::uint64_t id) const
{
    const auto found = m_connections.find(id);
    return found == m_connections.end()
               ? 0
               : found->second->output.size() - found->second->output_sent_bytes;
}

unsent_output caller_side::unsent() const
{
    unsent_output total;
    for (const auto& [id, connection] : m_connections) {
        if (connection->closed || !connection->delivery_pending)
            continue;
        const std::size_t bytes = unsent_bytes(*connection);
        if (bytes > 0)
            ++total.connections;
        total.bytes += bytes;
    }
    return total;
}

void caller_side::finish_response(caller_connection& connection, absl::Time now)
{
    connection.awaiting_response = false;
    connection.has_served = true;
    connection.request_bytes = 0;
    connection.releasable_bytes = 0;
    connection.response_bytes = 0;
    connection.last_activity = now;
    connection.closing = connection.closing || !connection.keep_alive;
    flush(connection, now);
    account(connection);
}

void caller_side::flush(caller_connection& connection, absl::Time now)
{
    while (connection.output_sent_bytes < connection.output.size()) {
        const ssize_t sent_bytes =
            send(connection.descriptor, connection.output.data() + connection.output_sent_bytes,
                 connection.output.size() - connection.output_sent_bytes, MSG_NOSIGNAL);
        if (sent_bytes > 0) {
            connection.output_sent_bytes += static_cast<std::size_t>(sent_bytes);
            connection.delivery_pending = true;
            continue;
        }
        if (sent_bytes < 0 && errno == EINTR)
            continue;
        if (sent_bytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            connection.delivery_pending = true;
            break;
        }
        const bool was_awaiting_response = connection.awaiting_response;
        close(connection);
        if (was_awaiting_response)
            m_handler.on_caller_disconnected(connection.id, now);
        return;
    }
    after_flush(connection, now);
}

void caller_side::after_flush(caller_connection& connection, absl::Time now)
{
    if (connection.output_sent_bytes == connection.output.size()) {
        connection.output.clear();
        connection.output_sent_bytes = 0;
        release_capacity(connection.output);
        if (connection.closing && !connection.lingering) {
            shutdown(connection.descriptor, SHUT_WR);
            connection.lingering = true;
            connection.linger_until = now + linger_timeout;
        }
        if (connection.awaiting_response)
            m_handler.on_caller_writable(connection.id);
        else if (!connection.closing && !connection.reader && !connection.input.empty() &&
                 !connection.processing)
            process_later(connection);
    }
    else if (connection.output_sent_bytes > min_compact_bytes) {
        connection.output.erase(0, connection.output_sent_bytes);
        connection.output_sent_bytes = 0;
    }
    if (!connection.closed)
        update_interest(connection);
}

void caller_side::update_interest(caller_connection& connection)
{
    const bool wants_read =
        !(is_held_up(connection) && connection.input.size() >= max_pipelined_bytes);
    const bool wants_write = connection.output_sent_bytes < connection.output.size();
    if (wants_read == connection.wants_read && wants_write == connection.wants_write)
        return;
    connection.wants_read = wants_read;
    connection.wants_write = wants_write;
    m_poller.change(connection.descriptor, connection.id, wants_read, wants_write);
}

void caller_side::close_idle(absl::Time now)
{
    for (auto& [id, connection] : m_connections)
        if (!connection->closed && !connection->awaiting_response && !connection->closing &&
            connection->input.empty() && !connection->reader) {
            connection->closing = true;
            flush(*connection, now);
        }
}

void caller_side::tick(absl::Time now)
{
    // Looking at the output costs a system call for each stream. With few connections, the kernel
    // can't hold much of it: at most twice the size of the buffer that was asked for.
    const std::size_t max_output_bytes =
        m_connections.size() * 2 * static_cast<std::size_t>(m_bounds.send_buffer_bytes);
    const bool counts_output = max_output_bytes > m_bounds.buffer_bytes / 2;
    for (auto& [id, connection] : m_connections) {
        if (connection->closed)
            continue;
        connection->kernel_bytes = bytes_in_kernel(*connection, counts_output);
        account(*connection);
        if (connection->awaiting_response)
            continue;
        const bool delivering = is_delivering(*connection, now);
        if (connection->lingering) {
            if (delivering)
                connection->linger_until = now + linger_timeout;
            else if (now >= connection->linger_until)
                close(*connection);
            continue;
        }
        const bool in_head = connection->reader &&
                             connection->reader->current_state() == request_reader::state::head;
        if (in_head && now - connection->request_started > m_limits.header_timeout) {
            reject(*connection, 408, now);
            continue;
        }
        if (!delivering && now - connection->last_activity > m_limits.idle_timeout) {
            if (connection->delivery_pending)
                discard_output_on_close(connection->descriptor);
            close(*connection);
        }
    }
}

// Whether the caller's host still takes in output, which counts as activity. It may stall for the
// idle timeout.
bool caller_side::is_delivering(caller_connection& connection, absl::Time now) const
{
    if (!connection.delivery_pending)
        return false;
    const std::size_t unsent = unsent_bytes(connection);
    if (unsent != connection.last_unsent_bytes) {
        connection.last_unsent_bytes = unsent;
        connection.last_activity = now;
    }
    connection.delivery_pending = unsent > 0;
    return unsent > 0 && now - connection.last_activity <= m_limits.idle_timeout;
}

void caller_side::sweep()
{
    for (const std::uint64_t id : m_closed_ids)
        m_connections.erase(id);
    m_closed_ids.clear();
}

void caller_side::charge_request(std::uint64_t id, std::size_t bytes, std::size_t releasable_bytes)
{
    caller_connection* connection = find(id);
    if (connection == nullptr || !connection->awaiting_response)
        return;
    connection->request_bytes = bytes;
    connection->releasable_bytes = releasable_bytes;
    account(*connection);
}

void caller_side::charge_response(std::uint64_t id, std::size_t bytes)
{
    caller_connection* connection = find(id);
    if (connection == nullptr)
        return;
    connection->response_bytes = bytes;
    account(*connection);
}

void caller_side::account(const caller_connection& connection)
{
    if (connection.closed)
        return;
    const std::size_t reading_bytes =
        connection.reader ? reader_bytes + connection.reader->held_bytes() : 0;
    const std::size_t bytes = connection_bytes + connection.input.capacity() +
                              connection.output.capacity() + reading_bytes +
                              connection.request_bytes + connection.response_bytes +
                              connection.kernel_bytes;
    m_memory.set(connection.id, bytes);
    if (connection.reader && !connection.awaiting_response && !connection.closing)
        m_reading.set(connection.id, bytes);
    else
        m_reading.remove(connection.id);
    if (connection.releasable_bytes > 0)
        m_releasable.set(connection.id, connection.releasable_bytes);
    else
        m_releasable.remove(connection.id);
}

void caller_side::enforce_budget(absl::Time now)
{
    while (m_memory.is_exceeded()) {
        if (const auto releasable = m_releasable.heaviest()) {
            ++m_shed.retries;
            m_releasable.remove(*releasable);
            m_handler.on_release_requested(*releasable, now);
            continue;
        }
        caller_connection* connection = next_to_shed();
        if (connection == nullptr)
            return;
        ++m_shed.for_memory;
        shed(*connection, now);
    }
}

// A request that is still being read can be refused as not executed, so one of at least
// `min_reading_share` of the heaviest connection's memory goes before that.
caller_connection* caller_side::next_to_shed()
{
    const auto heaviest = m_memory.heaviest();
    if (!heaviest)
        return nullptr;
    const auto reading = m_reading.heaviest();
    const bool prefers_reading =
        reading && static_cast<double>(m_memory.held(*reading)) >=
                       min_reading_share * static_cast<double>(m_memory.held(*heaviest));
    return find(prefers_reading ? *reading : *heaviest);
}

void caller_side::shed(caller_connection& connection, absl::Time now)
{
    const std::size_t held_before = m_memory.held(connection.id);
    if (connection.reader && !connection.awaiting_response && !connection.closing) {
        release_buffer(connection.input);
        reject(connection, 503, now);
    }
    else if (connection.awaiting_response) {
        m_handler.on_shed(connection.id, now);
    }
    if (connection.closed || m_memory.held(connection.id) < held_before)
        return;
    discard_output_on_close(connection.descriptor);
    drop(connection, now);
}

void caller_side::drop(caller_connection& connection, absl::Time now)
{
    const bool was_awaiting_response = connection.awaiting_response;
    close(connection);
    connection.reader.reset();
    release_buffer(connection.input);
    release_buffer(connection.output);
    connection.output_sent_bytes = 0;
    if (was_awaiting_response)
        m_handler.on_caller_disconnected(connection.id, now);
}

// Closes a connection if there are too many for another one. Returns false if none may be closed.
bool caller_side::make_room(absl::Time now)
{
    if (m_connections.size() - m_closed_ids.size() < m_bounds.max_callers)
        return true;
    ++m_shed.for_connections;
    const auto activity = [](const caller_connection& connection) {
        return guard::connection_activity{.is_serving = connection.awaiting_response ||
                                                        connection.output_sent_bytes <
                                                            connection.output.size(),
                                          .is_ending = connection.lingering,
                                          .has_served = connection.has_served,
                                          .last_activity = connection.last_activity};
    };
    caller_connection* first = nullptr;
    for (const auto& [id, connection] : m_connections)
        if (!connection->closed &&
            (first == nullptr || guard::is_closed_before(activity(*connection), activity(*first))))
            first = connection.get();
    if (first == nullptr || activity(*first).is_serving)
        return false;
    drop(*first, now);
    return true;
}

void caller_side::close(caller_connection& connection)
{
    if (connection.closed)
        return;
    connection.closed = true;
    connection.awaiting_response = false;
    m_poller.remove(connection.descriptor);
    ::close(connection.descriptor);
    connection.descriptor = -1;
    m_memory.remove(connection.id);
    m_reading.remove(connection.id);
    m_releasable.remove(connection.id);
    m_closed_ids.push_back(connection.id);
}

caller_connection* caller_side::find(std::uint64_t id)
{
    const auto found = m_connections.find(id);
    return found == m_connections.end() || found->second->closed ? nullptr : found->second.get();
}

} // namespace chivedeal::forward
