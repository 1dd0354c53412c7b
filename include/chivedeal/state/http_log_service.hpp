#ifndef CHIVEDEAL_STATE_HTTP_LOG_SERVICE_HPP
#define CHIVEDEAL_STATE_HTTP_LOG_SERVICE_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/control_traffic.hpp"
#include "chivedeal/core/mutex.hpp"
#include "chivedeal/state/log_service.hpp"

#include <functional>
#include <set>

namespace httplib {
class Result;
}

namespace chivedeal {
class bounded_http_client;
}

namespace chivedeal::state {

/// HTTP client for the platform's log. Thread-safe.
class http_log_service : public log_service
{
public:
    struct options
    {
        address platform;
        /// Timeout of a call, in addition to the wait that a read requests from the log.
        absl::Duration timeout = absl::Seconds(3);
        /// Counts the bytes sent and received; may be null.
        control_traffic* traffic = nullptr;
    };

    explicit http_log_service(options wiring);

    /// Returns `log_unavailable` if the call fails and `stopping` after `stop`.
    result<std::uint64_t> append(const std::string& stream,
                                 const std::vector<std::string>& records) override;

    result<log_batch> read(const std::string& stream, std::uint64_t from, int max,
                           absl::Duration wait) override;

    /// Cancels the calls in progress and rejects later ones, so that shutdown doesn't wait for
    /// long polls.
    void stop();

private:
    result<std::string> call(control_purpose purpose, absl::Duration limit,
                             const std::function<httplib::Result(bounded_http_client&)>& request);

    options m_options;
    mutex m_mutex;
    std::set<bounded_http_client*> m_active;
    bool m_stopped = false;
};

} // namespace chivedeal::state

#endif
