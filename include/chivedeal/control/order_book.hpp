#ifndef CHIVEDEAL_CONTROL_ORDER_BOOK_HPP
#define CHIVEDEAL_CONTROL_ORDER_BOOK_HPP

#include "chivedeal/control/held_leases.hpp"
#include "chivedeal/control/open_orders.hpp"
#include "chivedeal/control/order_command.hpp"
#include "chivedeal/control/order_event.hpp"

#include "absl/time/time.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::control {

/// Tracks the orders of one lease tenure and compares the requested state with the observed state.
///
/// An order is retried until a later observation matches it, so that a lost response neither
/// duplicates nor loses its effect. Each tenure uses a new book.
class order_book
{
public:
    struct options
    {
        held_lease lease;
        /// Whether all endpoints reject orders with an old fencing token. If not, orders are
        /// delayed by `max_order_delay`, by when those of the previous holder must have arrived.
        bool endpoints_check_fencing = true;
        absl::Duration max_order_delay = absl::Seconds(5);
        absl::Duration retry_interval = absl::Seconds(3);
        /// A started instance that is not listed within this time is considered failed and removed.
        absl::Duration boot_timeout = absl::Minutes(5);
    };

    explicit order_book(options settings) : m_options(std::move(settings)) {}

    std::vector<order_command> handle(const order_event& event, absl::Time now);

    /// Returns the starts whose instance is not listed yet; placement counts them as starting.
    std::vector<order_start> unlisted_starts() const;

    /// Returns the starts whose instance has been listed, for `boot_timeout` after the listing.
    std::vector<listed_start> listed_starts() const;

    /// Returns the engines with load orders, whose loaded versions the caller has to read.
    std::set<endpoint_id> endpoints_with_orders() const;

    bool gave_up() const { return m_gave_up; }

private:
    class handler;

    struct start_entry
    {
        order_start order;
        absl::Time retry_at = absl::InfinitePast();
        /// Empty until the cloud has confirmed the start.
        instance_id instance;
        absl::Time expires_at = absl::InfiniteFuture();
    };

    struct listed_entry
    {
        listed_start start;
        absl::Time expires_at;
    };

    struct stop_entry
    {
        order_stop order;
        absl::Time retry_at = absl::InfinitePast();
    };

    struct load_entry
    {
        std::string model;
        std::string adapter;
        bool loaded = true;
        absl::Time retry_at = absl::InfinitePast();
    };

    options m_options;
    int m_next_slot = 1;
    bool m_gave_up = false;
    std::map<client_token, start_entry> m_starts;
    std::vector<listed_entry> m_listed_starts;
    std::map<instance_id, stop_entry> m_stops;
    std::map<std::pair<endpoint_id, version_id>, load_entry> m_loads;
};

} // namespace chivedeal::control

#endif
