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

/// Reads one answer from an endpoint's bytes; interim answers (1xx) are passed over.
class response_reader
{
public:
    /// The answer to a HEAD request has no body whatever its fields say.
    explicit response_reader(bool to_head_request);
    ~response_reader();
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    /// Appends the body's bytes to `body`. Returns how many bytes were taken.
    std::size_t feed(std::string_view bytes, std::string& body);

    /// The connection ended in an orderly way: completes an answer that has no length.
    void on_eof();

    bool has_head() const { return m_has_head; }
    bool complete() const { return m_complete; }
    bool failed() const { return m_failed; }
    const http_response_head& head() const { return m_head; }
    /// Whether the endpoint keeps the connection open after this answer.
    bool keep_alive() const;
    /// How long the endpoint keeps an idle connection, if it says so.
    std::optional<absl::Duration> keep_alive_timeout() const;

private:
    class parser;

    void take_head();

    bool m_to_head_request;
    std::unique_ptr<parser> m_parser;
    http_response_head m_head;
    bool m_has_head = false;
    bool m_complete = false;
    bool m_failed = false;
};

} // namespace chivedeal::forward

#endif
