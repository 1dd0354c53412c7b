#ifndef CHIVEDEAL_REQUESTS_HTTP_ENDPOINT_CLIENT_HPP
#define CHIVEDEAL_REQUESTS_HTTP_ENDPOINT_CLIENT_HPP

#include "chivedeal/requests/endpoint_client.hpp"

namespace chivedeal {
class clock;
}

namespace chivedeal::requests {

/// Speaks HTTP to engines (server-sent events) and plain services.
class http_endpoint_client : public endpoint_client
{
public:
    explicit http_endpoint_client(const clock& time);

    void run(const attempt_start& start, const std::function<bool(attempt_event)>& report) override;

private:
    const clock& m_clock;
};

} // namespace chivedeal::requests

#endif
