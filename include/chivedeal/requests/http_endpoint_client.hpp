#ifndef CHIVEDEAL_REQUESTS_HTTP_ENDPOINT_CLIENT_HPP
#define CHIVEDEAL_REQUESTS_HTTP_ENDPOINT_CLIENT_HPP

#include "chivedeal/requests/endpoint_client.hpp"

#include <memory>

namespace chivedeal {
class clock;
}

namespace chivedeal::requests {

/// Runs attempts over HTTP at engines, which answer in server-sent events, and plain services.
class http_endpoint_client : public endpoint_client
{
public:
    explicit http_endpoint_client(const clock& time);
    ~http_endpoint_client() override;

    void run(const attempt_start& start, const std::function<bool(attempt_event)>& report) override;
    void cancel(const cancel_attempt& order) override;
    result<std::string> move(const move_kv& order) override;

private:
    class attempt_table;
    class client_pool;

    const clock& m_clock;
    std::unique_ptr<attempt_table> m_attempts;
    std::unique_ptr<client_pool> m_clients;
};

} // namespace chivedeal::requests

#endif
