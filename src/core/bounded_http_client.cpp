#include "chivedeal/core/bounded_http_client.hpp"

#include "chivedeal/core/bounded_stream.hpp"

namespace chivedeal {

bounded_http_client::bounded_http_client(const address& remote, options settings)
    : httplib::ClientImpl(remote.host, remote.port), m_options(settings)
{}

bool bounded_http_client::process_socket(const Socket& socket,
                                         std::function<bool(httplib::Stream& stream)> callback)
{
    return httplib::detail::process_client_socket(
        socket.sock, read_timeout_sec_, read_timeout_usec_, write_timeout_sec_, write_timeout_usec_,
        [&](httplib::Stream& stream) {
            bounded_stream limited(stream, m_options.max_response_bytes);
            return callback(limited);
        });
}

} // namespace chivedeal
