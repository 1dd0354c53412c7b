#ifndef CHIVEDEAL_FORWARD_REQUEST_READER_HPP
#define CHIVEDEAL_FORWARD_REQUEST_READER_HPP

#include "chivedeal/forward/http_request.hpp"

#include <cstddef>
#include <memory>
#include <string_view>

namespace chivedeal::forward {

/// Reads one request from a caller's bytes.
///
/// Framing that two parsers could understand differently is refused, so that no request can be
/// smuggled inside another.
class request_reader
{
public:
    struct limits
    {
        std::size_t header_bytes = 16384;
        std::size_t body_bytes = 4194304;
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

    /// Returns how many bytes were taken; the rest belongs to the next request, or is to be given
    /// again with more.
    std::size_t feed(std::string_view bytes);

    state current() const { return m_state; }

    /// Status for the caller when the request failed: 400, 413 or 431.
    int failure_status() const { return m_failure_status; }

    /// Whether the caller waits for "100 Continue" before it sends its body.
    bool expects_continue() const;

    /// Undefined unless the request is complete.
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
