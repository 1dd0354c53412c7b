#include "chivedeal/forward/request_reader.hpp"

#include "chivedeal/forward/http_fields.hpp"
#include "chivedeal/forward/memory_size.hpp"

#include "absl/strings/match.h"
#include "absl/strings/string_view.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <cstdint>
#include <utility>

namespace chivedeal::forward {

namespace http = boost::beast::http;

namespace {

using beast_view = boost::beast::string_view;

std::string_view trim(beast_view text)
{
    const std::string_view view(text.data(), text.size());
    const std::size_t begin = view.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
        return {};
    return view.substr(begin, view.find_last_not_of(" \t") - begin + 1);
}

} // namespace

/// Stores what the parser reads. The library's own message type takes more memory per field, and its
/// size is not known.
class request_reader::parser : public http::basic_parser<true>
{
public:
    http_request& request() { return m_request; }
    /// 10 for HTTP/1.0, 11 for HTTP/1.1.
    int version() const { return m_version; }
    std::size_t held_bytes() const { return m_head_bytes + m_request.body.size(); }

private:
    void on_request_impl(http::verb /*method*/, beast_view method_text, beast_view target,
                         int version, boost::system::error_code& /*failure*/) override
    {
        m_version = version;
        m_request.method.assign(method_text.data(), method_text.size());
        m_request.target.assign(target.data(), target.size());
    }
    void on_response_impl(int /*status*/, beast_view /*reason*/, int /*version*/,
                          boost::system::error_code& /*failure*/) override
    {}
    void on_field_impl(http::field /*name*/, beast_view name_text, beast_view value,
                       boost::system::error_code& /*failure*/) override
    {
        // A trailer field could otherwise pass for one of the head, which has been checked.
        if (m_has_head)
            return;
        m_request.fields.push_back({.name = std::string(name_text.data(), name_text.size()),
                                    .value = std::string(trim(value))});
        m_head_bytes += size_in_memory(m_request.fields.back());
    }
    void on_header_impl(boost::system::error_code& /*failure*/) override
    {
        m_has_head = true;
        m_request.fields.shrink_to_fit();
    }
    void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                           boost::system::error_code& /*failure*/) override
    {
        // The parser has checked the length against the limit.
        if (length)
            m_request.body.reserve(static_cast<std::size_t>(*length));
    }
    std::size_t on_body_impl(beast_view bytes, boost::system::error_code& /*failure*/) override
    {
        m_request.body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t /*bytes*/, beast_view /*extensions*/,
                              boost::system::error_code& /*failure*/) override
    {}
    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, beast_view bytes,
                                   boost::system::error_code& /*failure*/) override
    {
        m_request.body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_finish_impl(boost::system::error_code& /*failure*/) override {}

    http_request m_request;
    std::size_t m_head_bytes = 0;
    int m_version = 0;
    bool m_has_head = false;
};

request_reader::request_reader(limits bounds) : m_parser(std::make_unique<parser>())
{
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(bounds.max_header_bytes));
    m_parser->body_limit(std::uint64_t{bounds.max_body_bytes});
}

request_reader::~request_reader() = default;

std::size_t request_reader::feed(std::string_view bytes)
{
    std::size_t consumed_bytes = 0;
    while (consumed_bytes < bytes.size() && m_state != state::complete &&
           m_state != state::failed) {
        boost::system::error_code parse_error;
        const std::size_t parsed_bytes = m_parser->put(
            boost::asio::buffer(bytes.data() + consumed_bytes, bytes.size() - consumed_bytes),
            parse_error);
        consumed_bytes += parsed_bytes;
        if (m_state == state::head && m_parser->is_header_done())
            check_head();
        if (parse_error && parse_error != http::error::need_more) {
            fail(parse_error == http::error::header_limit ? 431
                 : parse_error == http::error::body_limit ? 413
                                                          : 400);
            break;
        }
        if (m_state != state::failed && m_parser->is_done())
            m_state = state::complete;
        if (parsed_bytes == 0)
            break;
    }
    return consumed_bytes;
}

std::size_t request_reader::held_bytes() const { return m_parser->held_bytes(); }

void request_reader::fail(int status)
{
    m_state = state::failed;
    m_failure_status = status;
}

void request_reader::check_head()
{
    m_state = state::body;
    const http_request& request = m_parser->request();
    int encoding_count = 0;
    for (const http_field& field : request.fields) {
        if (!absl::EqualsIgnoreCase(field.name, "Transfer-Encoding"))
            continue;
        ++encoding_count;
        if (!absl::EqualsIgnoreCase(field.value, "chunked"))
            return fail(400);
    }
    const int length_count = count_field(request.fields, "Content-Length");
    if (encoding_count > 1 || length_count > 1 ||
        (encoding_count == 1 && (length_count > 0 || m_parser->version() != 11)))
        return fail(400);
    if (count_field(request.fields, "Host") != 1 || request.target.empty() ||
        request.target.front() != '/')
        fail(400);
}

bool request_reader::expects_continue() const
{
    if (m_state != state::body)
        return false;
    const std::string* expected = find_field(m_parser->request().fields, "Expect");
    return expected != nullptr && absl::EqualsIgnoreCase(*expected, "100-continue");
}

http_request request_reader::take()
{
    http_request request = std::move(m_parser->request());
    request.keep_alive = m_parser->keep_alive();
    return request;
}

} // namespace chivedeal::forward
