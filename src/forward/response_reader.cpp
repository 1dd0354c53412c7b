#include "chivedeal/forward/response_reader.hpp"

#include "chivedeal/forward/http_fields.hpp"
#include "chivedeal/forward/status_line_detector.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <limits>

namespace chivedeal::forward {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t max_head_bytes = 64 * 1024;
// Includes chunk headers, and so limits the number of chunks, each of which is parsed by itself.
constexpr std::size_t max_overhead_bytes = 256 * 1024;

// A response that breaks off inside its head and the next one on the connection otherwise look like
// one response.
bool contains_status_line(std::string_view text)
{
    for (std::size_t at = text.find("HTTP/1."); at != std::string_view::npos;
         at = text.find("HTTP/1.", at + 1))
        if (starts_with_status_line(text.substr(at)))
            return true;
    return false;
}

} // namespace

class response_reader::parser
{
public:
    http::response_parser<http::buffer_body> inner;
};

response_reader::response_reader(bool to_head_request) : m_to_head_request(to_head_request)
{
    m_parser = std::make_unique<parser>();
    m_parser->inner.header_limit(max_head_bytes);
    m_parser->inner.body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->inner.skip(to_head_request);
}

response_reader::~response_reader() = default;

std::size_t response_reader::feed(std::string_view bytes, std::string& body)
{
    std::size_t consumed_bytes = 0;
    while (consumed_bytes < bytes.size() && !m_complete && !m_failed) {
        auto& inner = m_parser->inner;
        const std::size_t remaining_bytes = bytes.size() - consumed_bytes;
        const std::size_t old_body_bytes = body.size();
        if (m_has_head) {
            body.resize(old_body_bytes + remaining_bytes);
            inner.get().body().data = body.data() + old_body_bytes;
            inner.get().body().size = remaining_bytes;
            inner.get().body().more = true;
        }
        boost::system::error_code parse_error;
        const std::size_t parsed_bytes = inner.put(
            boost::asio::buffer(bytes.data() + consumed_bytes, remaining_bytes), parse_error);
        consumed_bytes += parsed_bytes;
        if (m_has_head)
            body.resize(old_body_bytes + remaining_bytes - inner.get().body().size);
        if (body.size() == old_body_bytes)
            m_overhead_bytes += parsed_bytes;
        if (m_overhead_bytes > max_overhead_bytes)
            m_failed = true;
        if (parse_error && parse_error != http::error::need_more &&
            parse_error != http::error::need_buffer) {
            m_failed = true;
        }
        if (m_failed)
            break;
        if (!m_has_head && inner.is_header_done())
            store_head();
        else if (m_has_head && inner.is_done())
            m_complete = true;
        else if (parsed_bytes == 0)
            break;
    }
    return consumed_bytes;
}

void response_reader::store_head()
{
    const auto& message = m_parser->inner.get();
    // The parser accepts any three digits.
    m_failed = message.result_int() < 100 || message.result_int() > 599;
    if (m_failed)
        return;
    if (message.result_int() / 100 == 1) {
        m_parser = std::make_unique<parser>();
        m_parser->inner.header_limit(max_head_bytes);
        m_parser->inner.body_limit(std::numeric_limits<std::uint64_t>::max());
        m_parser->inner.skip(m_to_head_request);
        return;
    }
    m_failed = contains_status_line(std::string(message.reason()));
    for (const auto& field : message) {
        m_head.fields.push_back(
            {.name = std::string(field.name_string()), .value = std::string(field.value())});
        m_failed = m_failed || contains_status_line(m_head.fields.back().value);
    }
    if (m_failed)
        return;
    m_has_head = true;
    m_head.status = static_cast<int>(message.result_int());
    m_head.ends_with_connection = m_parser->inner.need_eof();
    m_complete = m_parser->inner.is_done();
}

void response_reader::on_eof()
{
    if (!m_has_head || m_complete || m_failed || !m_parser->inner.need_eof()) {
        m_failed = m_failed || !m_complete;
        return;
    }
    m_complete = true;
}

bool response_reader::keep_alive() const
{
    return m_has_head && m_parser->inner.keep_alive() && !m_parser->inner.need_eof();
}

std::optional<absl::Duration> response_reader::keep_alive_timeout() const
{
    const std::string* text = find_field(m_head.fields, "Keep-Alive");
    if (text == nullptr)
        return std::nullopt;
    for (absl::string_view part : absl::StrSplit(*text, ',')) {
        part = absl::StripAsciiWhitespace(part);
        int seconds = 0;
        if (absl::StartsWithIgnoreCase(part, "timeout=") &&
            absl::SimpleAtoi(part.substr(sizeof("timeout=") - 1), &seconds))
            return absl::Seconds(seconds);
    }
    return std::nullopt;
}

} // namespace chivedeal::forward
