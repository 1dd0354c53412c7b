#ifndef CHIVEDEAL_CONTROL_ORDER_SENDER_HPP
#define CHIVEDEAL_CONTROL_ORDER_SENDER_HPP

#include "chivedeal/control/held_leases.hpp"
#include "chivedeal/control/open_orders.hpp"
#include "chivedeal/control/order_book.hpp"
#include "chivedeal/control/placement_event.hpp"
#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/core/shared_cell.hpp"

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <string>

namespace chivedeal {
class clock;
}

namespace chivedeal::control {

class cloud_api;
class engine_api;
class move_feed;

/// Thread that sends orders while this node holds the lease and reads back their effect.
///
/// Requests that arrive without a lease are dropped, because the lease holder decides again.
class order_sender : public duty
{
public:
    struct options
    {
        const clock& time;
        /// For example `placement_scope(region)`.
        std::string scope;
        bounded_ring<order_event>& inbox;
        const shared_cell<control::held_leases>& held_leases;
        cloud_api& cloud;
        engine_api& engines;
        /// Provides the addresses of endpoints.
        const move_feed& feed;
        /// State of the starts for placement; outlives restarts of the sender.
        shared_cell<open_orders>& orders;
        /// Receives refused and successful starts.
        bounded_ring<placement_event>& placement;
        /// Whether all endpoints of the scope reject old fencing tokens.
        bool endpoints_check_fencing = false;
        absl::Duration max_order_delay = absl::Seconds(5);
    };

    explicit order_sender(options wiring);

    std::string name() const override { return "order_sender"; }
    void run() override;
    void request_stop() override;

private:
    void tick();
    void handle(const order_event& event);
    void refresh_tenure();
    void read_back();
    void publish();
    void execute(const order_command& command);
    void execute(const order_start& order);
    void execute(const order_stop& order);
    void execute(const order_load& order);

    options m_options;
    std::optional<order_book> m_book;
    std::uint64_t m_grant = 0;
    std::uint64_t m_start_requests_taken = 0;
    absl::Time m_list_requested_at = absl::InfinitePast();
    absl::Time m_next_read_back = absl::InfinitePast();
};

} // namespace chivedeal::control

#endif
