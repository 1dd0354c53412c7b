#include "chivedeal/forward/caller_side.hpp"

#include "chivedeal/forward/caller_listener.hpp"
#include "chivedeal/forward/http_fields.hpp"
#include "chivedeal/forward/poller.hpp"
#include "chivedeal/forward/sockets.hpp"

#include "absl/strings/str_cat.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace chivedeal::forward {

namespace {

constexpr std::size_t read_bytes = 16 * 1024;
// While an answer is under way a caller may have sent the next requests; more than this waits in
// the kernel.
constexpr std::size_t most_pipelined = 64 * 1024;
// Written bytes are dropped from the front only past this size, so that each event isn't a copy.
constexpr std::size_t compact_bytes = 32 * 1024;
constexpr absl::Duration linger = absl::Seconds(1);
constexpr std::size_t kept_capacity = 4 * 1024;

void release_capacity(std::string& text)
{
    if (text.empty() && text.capacity() > kept_capacity)
        std::string().swap(text);
}

} // namespace

caller_side::~caller_side()
{
    for (auto& [id, one] : m_connections)
        if (one->descriptor >= 0)
            ::close(one->descriptor);
}

void caller_side::accept_all(int listener_socket, int listener, absl::Time now)
{
    while (true) {
        const int descriptor = accept_tcp(listener_socket);
        if (descriptor < 0)
            return;
        auto one = std::make_unique<caller_connection>();
        one->id = id_mark | m_next++;
        one->descriptor = descriptor;
        one->listener = listener;
        one->last_activity = now;
        m_poller.add(descriptor, one->id, true, false);
        m_connections.emplace(one->id, std::move(one));
    }
}

void caller_side::on_ready(std::uint64_t id, bool readable, bool writable, bool broken,
                           absl::Time now)
{
    caller_connection* one = find(id);
    if (one == nullptr)
        return;
    if (writable)
        flush(*one, now);
    if (!one->dead && (readable || broken))
        read_all(*one, now);
}

void caller_side::read_all(caller_connection& one, absl::Time now)
{
    std::array<char, read_bytes> buffer;
    while (!one.dead) {
        const ssize_t size = recv(one.descriptor, buffer.data(), buffer.size(), 0);
        if (size > 0) {
            one.last_activity = now;
            if (one.lingering)
                continue;
            if (one.in.empty() && !one.busy && !one.reader)
                one.request_started = now;
            one.in.append(buffer.data(), static_cast<std::size_t>(size));
            if (!one.busy)
                process(one, now);
            if (one.busy && one.in.size() >= most_pipelined)
                break;
            if (static_cast<std::size_t>(size) < buffer.size())
                break;
            continue;
        }
        if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        if (size < 0 && errno == EINTR)
            continue;
        const bool was_busy = one.busy;
        close(one);
        if (was_busy)
            m_handler.on_caller_left(one.id, now);
        return;
    }
    if (!one.dead)
        update_interest(one);
}

void caller_side::process(caller_connection& one, absl::Time now)
{
    while (!one.dead && !one.busy && !one.closing && !one.in.empty()) {
        if (!one.reader) {
            one.reader = std::make_unique<request_reader>(request_reader::limits{
                .header_bytes = m_limits.max_header_bytes, .body_bytes = m_limits.max_body_bytes});
            one.request_started = now;
            one.sent_continue = false;
        }
        const std::size_t taken = one.reader->feed(one.in);
        one.in.erase(0, taken);
        release_capacity(one.in);
        if (one.reader->current() == request_reader::state::failed)
            return refuse(one, one.reader->failure_status(), now);
        if (!one.sent_continue && one.reader->expects_continue()) {
            one.sent_continue = true;
            one.out += "HTTP/1.1 100 Continue\r\n\r\n";
            flush(one, now);
        }
        if (one.reader->current() != request_reader::state::complete)
            return;
        http_request request = one.reader->take();
        one.reader.reset();
        one.busy = true;
        one.keep_alive = request.keep_alive;
        one.to_head_request = request.method == "HEAD";
        m_handler.on_request(one.id, one.listener, std::move(request), one.request_started, now);
    }
}

void caller_side::refuse(caller_connection& one, int status, absl::Time now)
{
    one.reader.reset();
    one.in.clear();
    one.keep_alive = false;
    one.busy = true;
    respond(one.id, {.status = status, .fields = {}}, "", now);
}

void caller_side::respond(std::uint64_t id, const http_response_head& head, std::string_view body,
                          absl::Time now)
{
    caller_connection* one = find(id);
    if (one == nullptr || !one->busy)
        return;
    one->keep_alive = one->keep_alive && !m_draining;
    one->out += format_response(head, body, one->keep_alive, one->to_head_request);
    finish_answer(*one, now);
}

void caller_side::begin_stream(std::uint64_t id, const http_response_head& head, absl::Time now)
{
    caller_connection* one = find(id);
    if (one == nullptr || !one->busy)
        return;
    one->keep_alive = one->keep_alive && !m_draining;
    one->chunked = true;
    one->out += format_response_head(head);
    one->out += "Transfer-Encoding: chunked\r\n";
    if (!one->keep_alive)
        one->out += "Connection: close\r\n";
    one->out += "\r\n";
    flush(*one, now);
}

void caller_side::send_stream(std::uint64_t id, std::string_view bytes, absl::Time now)
{
    caller_connection* one = find(id);
    if (one == nullptr || !one->chunked || bytes.empty())
        return;
    absl::StrAppend(&one->out, absl::Hex(bytes.size()), "\r\n");
    one->out.append(bytes);
    one->out += "\r\n";
    flush(*one, now);
}

void caller_side::end_stream(std::uint64_t id, absl::Time now)
{
    caller_connection* one = find(id);
    if (one == nullptr || !one->chunked)
        return;
    one->out += "0\r\n\r\n";
    one->chunked = false;
    finish_answer(*one, now);
}

void caller_side::abort(std::uint64_t id)
{
    if (caller_connection* one = find(id))
        close(*one);
}

std::size_t caller_side::backlog(std::uint64_t id) const
{
    const auto found = m_connections.find(id);
    return found == m_connections.end() ? 0 : found->second->out.size() - found->second->out_done;
}

void caller_side::finish_answer(caller_connection& one, absl::Time now)
{
    one.busy = false;
    one.last_activity = now;
    one.closing = one.closing || !one.keep_alive;
    flush(one, now);
    // The next request may have been read already. `process` runs this from inside itself too;
    // then its loop goes on.
    if (!one.dead && !one.closing && !one.in.empty() && !one.reader)
        process(one, now);
    if (!one.dead)
        update_interest(one);
}

void caller_side::flush(caller_connection& one, absl::Time now)
{
    while (one.out_done < one.out.size()) {
        const ssize_t size = send(one.descriptor, one.out.data() + one.out_done,
                                  one.out.size() - one.out_done, MSG_NOSIGNAL);
        if (size > 0) {
            one.out_done += static_cast<std::size_t>(size);
            continue;
        }
        if (size < 0 && errno == EINTR)
            continue;
        if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        const bool was_busy = one.busy;
        close(one);
        if (was_busy)
            m_handler.on_caller_left(one.id, now);
        return;
    }
    on_written(one, now);
}

void caller_side::on_written(caller_connection& one, absl::Time now)
{
    if (one.out_done == one.out.size()) {
        one.out.clear();
        one.out_done = 0;
        release_capacity(one.out);
        if (one.closing && !one.lingering) {
            shutdown(one.descriptor, SHUT_WR);
            one.lingering = true;
            one.linger_until = now + linger;
        }
        if (one.busy)
            m_handler.on_caller_writable(one.id);
    }
    else if (one.out_done > compact_bytes) {
        one.out.erase(0, one.out_done);
        one.out_done = 0;
    }
    if (!one.dead)
        update_interest(one);
}

void caller_side::update_interest(caller_connection& one)
{
    const bool read = !(one.busy && one.in.size() >= most_pipelined);
    const bool write = one.out_done < one.out.size();
    if (read == one.wants_read && write == one.wants_write)
        return;
    one.wants_read = read;
    one.wants_write = write;
    m_poller.change(one.descriptor, one.id, read, write);
}

void caller_side::close_idle(absl::Time now)
{
    for (auto& [id, one] : m_connections)
        if (!one->dead && !one->busy && !one->closing && one->in.empty() && !one->reader) {
            one->closing = true;
            flush(*one, now);
        }
}

void caller_side::tick(absl::Time now)
{
    for (auto& [id, one] : m_connections) {
        if (one->dead || one->busy)
            continue;
        if (one->lingering) {
            if (now >= one->linger_until)
                close(*one);
            continue;
        }
        const bool in_head = one->reader && one->reader->current() == request_reader::state::head;
        if (in_head && now - one->request_started > m_limits.header_timeout) {
            refuse(*one, 408, now);
            continue;
        }
        if (now - one->last_activity > m_limits.idle_timeout)
            close(*one);
    }
}

void caller_side::sweep()
{
    for (const std::uint64_t id : m_dead)
        m_connections.erase(id);
    m_dead.clear();
}

void caller_side::close(caller_connection& one)
{
    if (one.dead)
        return;
    one.dead = true;
    one.busy = false;
    m_poller.remove(one.descriptor);
    ::close(one.descriptor);
    one.descriptor = -1;
    m_dead.push_back(one.id);
}

caller_connection* caller_side::find(std::uint64_t id)
{
    const auto found = m_connections.find(id);
    return found == m_connections.end() || found->second->dead ? nullptr : found->second.get();
}

} // namespace chivedeal::forward
