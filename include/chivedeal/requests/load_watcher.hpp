#ifndef CHIVEDEAL_REQUESTS_LOAD_WATCHER_HPP
#define CHIVEDEAL_REQUESTS_LOAD_WATCHER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/membership/membership_listener.hpp"
#include "chivedeal/requests/poll_schedule.hpp"
#include "chivedeal/requests/router_message.hpp"

#include <memory>
#include <string>

namespace chivedeal {
class clock;
class control_traffic;
} // namespace chivedeal

namespace chivedeal::control {
class load_sink;
}

namespace chivedeal::requests {

/// Thread that polls the load and the cache events of its partition of the endpoints.
class load_watcher : public duty
{
public:
    using view_ring = bounded_ring<std::shared_ptr<const membership::membership_view>>;

    struct options
    {
        const clock& time;
        /// Delivers each new view.
        view_ring& views;
        bounded_ring<router_message>& router_inbox;
        poll_schedule::options schedule = {};
        /// Also receives each report; may be null.
        control::load_sink* load_sink = nullptr;
        /// Counts the bytes of the polls; may be null.
        control_traffic* traffic = nullptr;
    };

    explicit load_watcher(options wiring);

    std::string name() const override { return "load_watcher"; }
    void run() override;
    void request_stop() override;

private:
    void poll(const poll_schedule::poll& request);

    options m_options;
    poll_schedule m_schedule;
};

} // namespace chivedeal::requests

#endif
