#ifndef CHIVEDEAL_REQUESTS_POLL_SCHEDULE_HPP
#define CHIVEDEAL_REQUESTS_POLL_SCHEDULE_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/membership/endpoint.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace chivedeal::membership {
struct membership_view;
}

namespace chivedeal::requests {

/// Decides which endpoint to poll next, so that polls are spread over time. Reads no clock.
///
/// Each of `part_count` schedules has its own partition of the endpoints. With many endpoints the
/// interval grows, so that the cost of polling stays bounded.
class poll_schedule
{
public:
    struct options
    {
        absl::Duration interval = absl::Milliseconds(500);
        /// Minimum mean time between two polls of a schedule.
        absl::Duration min_gap = absl::Milliseconds(10);
        std::size_t part_index = 0;
        std::size_t part_count = 1;
    };

    /// An endpoint to poll, and the number of the last cache event received from it.
    struct poll
    {
        membership::endpoint target;
        std::uint64_t after = 0;

        friend bool operator==(const poll&, const poll&) = default;
    };

    explicit poll_schedule(options pace);

    void on_view(const membership::membership_view& view, absl::Time now);

    /// Returns the time of the next poll; infinite future without endpoints.
    absl::Time next_due() const;
    /// Returns the next poll if it is due, and schedules the endpoint's following poll.
    std::optional<poll> take_due(absl::Time now);

    /// Records the result of a poll. Returns true when the endpoint has just become unresponsive:
    /// its third poll in a row failed.
    bool on_polled(const endpoint_id& endpoint, bool answered, std::uint64_t after);

private:
    struct scheduled_endpoint
    {
        membership::endpoint target;
        absl::Time due;
        std::uint64_t after = 0;
        int failures = 0;
    };

    absl::Duration interval() const;

    options m_options;
    std::map<endpoint_id, scheduled_endpoint> m_endpoints;
    std::multimap<absl::Time, endpoint_id> m_by_due_time;
};

} // namespace chivedeal::requests

#endif
