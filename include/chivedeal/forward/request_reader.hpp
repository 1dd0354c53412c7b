#ifndef CHIVEDEAL_FORWARD_REQUEST_READER_HPP
#define CHIVEDEAL_FORWARD_REQUEST_READER_HPP

#include "chivedeal/forward/http_request.hpp"

#include <cstddef>
#include <memory>
#include <string_view>

namespace chivedeal::forward {

/// Incrementally parses one request from a caller.
///
/// Framing that two parsers could interpret differently is rejected to prevent request smuggling.
class request_reader
{
public:
    struct limits
    {
        std::size_t max_header_bytes = 16384;
        std::size_t max_body_bytes = 4194304;
    };

    enum class state
    {
        head,
        body,
        complete,
        failed,
    };

    explicit request_reader(limits bounds);
    ~request_reader();
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;

    /// Returns the number of bytes consumed. The rest belongs to the next request or must be passed
    /// again together with the bytes that follow.
    std::size_t feed(std::string_view bytes);

    state current_state() const { return m_state; }

    /// Memory of what was read so far.
    std::size_t held_bytes() const;

    /// Response status for a failed request: 400, 413 or 431.
    int failure_status() const { return m_failure_status; }

    /// Whether the caller waits for "100 Continue" before it sends its body.
    bool expects_continue() const;

    /// Moves the request out; may be called once, when the request is complete.
    http_request take();

private:
    class parser;

    void fail(int status);
    void check_head();

    std::unique_ptr<parser> m_parser;
    state m_state = state::head;
    int m_failure_status = 0;
};

} // namespace chivedeal::forward

#endif
