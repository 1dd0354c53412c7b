#include "chivedeal/forward/request_reader.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <utility>

namespace chivedeal::forward {

namespace http = boost::beast::http;

class request_reader::parser
{
public:
    http::request_parser<http::string_body> inner;
};

request_reader::request_reader(limits bounds) : m_parser(std::make_unique<parser>())
{
    m_parser->inner.eager(true);
    m_parser->inner.header_limit(static_cast<std::uint32_t>(bounds.max_header_bytes));
    m_parser->inner.body_limit(std::uint64_t{bounds.max_body_bytes});
}

request_reader::~request_reader() = default;

std::size_t request_reader::feed(std::string_view bytes)
{
    auto& inner = m_parser->inner;
    std::size_t consumed_bytes = 0;
    while (consumed_bytes < bytes.size() && m_state != state::complete &&
           m_state != state::failed) {
        boost::system::error_code parse_error;
        const std::size_t parsed_bytes = inner.put(
            boost::asio::buffer(bytes.data() + consumed_bytes, bytes.size() - consumed_bytes),
            parse_error);
        consumed_bytes += parsed_bytes;
        if (m_state == state::head && inner.is_header_done())
            check_head();
        if (parse_error && parse_error != http::error::need_more) {
            fail(parse_error == http::error::header_limit ? 431
                 : parse_error == http::error::body_limit ? 413
                                                          : 400);
            break;
        }
        if (m_state != state::failed && inner.is_done())
            m_state = state::complete;
        if (parsed_bytes == 0)
            break;
    }
    m_consumed_bytes += consumed_bytes;
    return consumed_bytes;
}

void request_reader::fail(int status)
{
    m_state = state::failed;
    m_failure_status = status;
}

void request_reader::check_head()
{
    m_state = state::body;
    const auto& message = m_parser->inner.get();
    const auto encodings = message.equal_range(http::field::transfer_encoding);
    int encoding_count = 0;
    for (auto encoding = encodings.first; encoding != encodings.second;
         ++encoding, ++encoding_count)
        if (!absl::EqualsIgnoreCase(
                absl::string_view(encoding->value().data(), encoding->value().size()), "chunked"))
            return fail(400);
    const bool has_length = message.count(http::field::content_length) > 0;
    if (encoding_count > 1 || message.count(http::field::content_length) > 1 ||
        (encoding_count == 1 && (has_length || message.version() != 11)))
        return fail(400);
    if (message.count(http::field::host) != 1 || message.target().empty() ||
        message.target().front() != '/')
        fail(400);
}

bool request_reader::expects_continue() const
{
    if (m_state != state::body)
        return false;
    const auto expected = m_parser->inner.get()[http::field::expect];
    return absl::EqualsIgnoreCase(absl::string_view(expected.data(), expected.size()),
                                  "100-continue");
}

http_request request_reader::take()
{
    auto message = m_parser->inner.release();
    http_request request{.method = std::string(message.method_string()),
                         .target = std::string(message.target()),
                         .fields = {},
                         .body = std::move(message.body()),
                         .keep_alive = message.keep_alive()};
    for (const auto& field : message)
        request.fields.push_back(
            {.name = std::string(field.name_string()), .value = std::string(field.value())});
    return request;
}

} // namespace chivedeal::forward
