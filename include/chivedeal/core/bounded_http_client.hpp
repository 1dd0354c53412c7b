#ifndef CHIVEDEAL_CORE_BOUNDED_HTTP_CLIENT_HPP
#define CHIVEDEAL_CORE_BOUNDED_HTTP_CLIENT_HPP

#include "chivedeal/core/address.hpp"

#include <httplib.h>

#include <cstddef>
#include <functional>

namespace chivedeal {

/// HTTP client that fails a call with `httplib::Error::Read` once its response exceeds a limit. The
/// base class has no limit: it keeps a head, a chunk size or a body without end in memory.
///
///     bounded_http_client client(platform, {.max_response_bytes = 1024 * 1024});
class bounded_http_client : public httplib::ClientImpl
{
public:
    struct options
    {
        /// Limit for the bytes of one response as received, interim responses and framing included.
        std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;
    };

    explicit bounded_http_client(const address& remote) : bounded_http_client(remote, options{}) {}
    bounded_http_client(const address& remote, options settings);

private:
    bool process_socket(const Socket& socket,
                        std::function<bool(httplib::Stream& stream)> callback) override;

    options m_options;
};

} // namespace chivedeal

#endif
