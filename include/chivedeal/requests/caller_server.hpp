#ifndef CHIVEDEAL_REQUESTS_CALLER_SERVER_HPP
#define CHIVEDEAL_REQUESTS_CALLER_SERVER_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/core/mutex.hpp"
#include "chivedeal/requests/router_message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace httplib {
struct Response;
class Server;
} // namespace httplib

namespace chivedeal {
class clock;
}

namespace chivedeal::requests {

/// HTTP server for callers. Other components add their routes through `add_routes`.
class caller_server : public duty
{
public:
    struct options
    {
        address listen;
        const clock& time;
        bounded_ring<router_message>& router_inbox;
        /// Maximum number of open connections; each is served by its own thread.
        std::size_t max_connections = 400;
        std::size_t max_request_bytes = 4 * 1024 * 1024;
        /// Adds the routes of other components.
        std::function<void(httplib::Server&)> add_routes;
    };

    explicit caller_server(options wiring);
    ~caller_server() override;

    std::string name() const override { return "caller_server"; }
    /// Throws if the address can't be bound.
    void run() override;
    void request_stop() override;

private:
    /// Returns false if a stop has already been requested.
    bool open_listener();
    /// Returns whether a stop was requested.
    bool close_listener();
    void install_routes();
    void serve(router_message message, const request_id& request, std::uint64_t connection,
               httplib::Response& response);

    options m_options;
    std::unique_ptr<httplib::Server> m_server;
    // Set while the library binds; the library owns and closes it.
    int m_socket = -1;
    mutex m_mutex;
    bool m_stopping = false;
    int m_stop_socket = -1;
};

} // namespace chivedeal::requests

#endif
