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
    m_parser->inner.header_limit(static_cast<std::uint32_t>(bounds.header_bytes));
    m_parser->inner.body_limit(std::uint64_t{bounds.body_bytes});
}

request_reader::~request_reader() = default;

std::size_t request_reader::feed(std::string_view bytes)
{
    auto& inner = m_parser->inner;
    std::size_t taken = 0;
    while (taken < bytes.size() && m_state != state::complete && m_state != state::failed) {
        boost::system::error_code fault;
        const std::size_t step =
            inner.put(boost::asio::buffer(bytes.data() + taken, bytes.size() - taken), fault);
        taken += step;
        if (m_state == state::head && inner.is_header_done())
            check_head();
        if (fault && fault != http::error::need_more) {
            fail(fault == http::error::header_limit ? 431
                 : fault == http::error::body_limit ? 413
                                                    : 400);
            break;
        }
        if (m_state != state::failed && inner.is_done())
            m_state = state::complete;
        if (step == 0)
            break;
    }
    return taken;
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
    for (auto one = encodings.first; one != encodings.second; ++one, ++encoding_count)
        if (!absl::EqualsIgnoreCase(absl::string_view(one->value().data(), one->value().size()),
                                    "chunked"))
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
    http_request taken{.method = std::string(message.method_string()),
                       .target = std::string(message.target()),
                       .fields = {},
                       .body = std::move(message.body()),
                       .keep_alive = message.keep_alive()};
    for (const auto& field : message)
        taken.fields.push_back(
            {.name = std::string(field.name_string()), .value = std::string(field.value())});
    return taken;
}

} // namespace chivedeal::forward
