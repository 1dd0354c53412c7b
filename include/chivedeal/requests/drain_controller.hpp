#ifndef CHIVEDEAL_REQUESTS_DRAIN_CONTROLLER_HPP
#define CHIVEDEAL_REQUESTS_DRAIN_CONTROLLER_HPP

#include "absl/time/time.h"

#include <cstddef>
#include <vector>

namespace chivedeal::requests {

/// State machine of a node's graceful shutdown. Only returns steps; the caller executes them.
///
/// Callers use an address as long as the response that listed it is valid, so the node accepts
/// requests for that time after it is delisted.
///
///     drain_controller drain({.address_ttl = absl::Seconds(5)});
///     drain.start(now);
///     for (const drain_controller::step step : drain.advance(now, open_requests))
///         execute(step);
class drain_controller
{
public:
    struct options
    {
        absl::Duration address_ttl = absl::Seconds(5);
        /// Time for streams to end on their own before they are handed off.
        absl::Duration drain_grace = absl::Seconds(10);
        /// Interval at which the remaining streams are offered to peers again.
        absl::Duration hand_off_interval = absl::Seconds(2);
    };

    enum class step
    {
        delist,
        close_intake,
        hand_off,
        stop,
    };

    drain_controller();
    explicit drain_controller(options tunables);

    /// Begins the drain; further calls have no effect.
    void start(absl::Time now);

    /// Returns the steps that are due.
    std::vector<step> advance(absl::Time now, std::size_t open_requests);

private:
    enum class phase
    {
        serving,
        starting,
        delisted,
        waiting_for_streams,
        handing_off,
        finished,
    };

    bool advance_one(absl::Time now, std::size_t open_requests, std::vector<step>& steps);

    options m_options;
    phase m_phase = phase::serving;
    absl::Time m_phase_end;
};

} // namespace chivedeal::requests

#endif
