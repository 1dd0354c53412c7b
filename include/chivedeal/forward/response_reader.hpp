#ifndef CHIVEDEAL_FORWARD_RESPONSE_READER_HPP
#define CHIVEDEAL_FORWARD_RESPONSE_READER_HPP

#include "chivedeal/forward/http_response_head.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chivedeal::forward {

/// Incrementally parses one response from an endpoint; interim responses (1xx) are skipped. Fails if
/// too many bytes arrive that aren't part of the body, or if a head contains another status line.
class response_reader
{
public:
    /// A response to a HEAD request has no body, whatever its fields say.
    explicit response_reader(bool to_head_request);
    ~response_reader();
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    /// Appends the decoded body bytes to `body`. Returns the number of bytes consumed.
    std::size_t feed(std::string_view bytes, std::string& body);

    /// Handles the orderly end of the connection, which completes a response without a length and
    /// fails any other incomplete response.
    void on_eof();

    bool has_head() const { return m_has_head; }
    bool complete() const { return m_complete; }
    bool failed() const { return m_failed; }
    const http_response_head& head() const { return m_head; }
    /// Whether the endpoint keeps the connection open after this response.
    bool keep_alive() const;
    /// How long the endpoint keeps an idle connection open, if it says so.
    std::optional<absl::Duration> keep_alive_timeout() const;

private:
    class parser;

    void store_head();

    bool m_to_head_request;
    std::unique_ptr<parser> m_parser;
    http_response_head m_head;
    bool m_has_head = false;
    bool m_complete = false;
    bool m_failed = false;
    // Bytes of heads, chunk headers and trailers.
    std::size_t m_overhead_bytes = 0;
};

} // namespace chivedeal::forward

#endif
