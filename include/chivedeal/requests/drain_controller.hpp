#ifndef CHIVEDEAL_REQUESTS_DRAIN_CONTROLLER_HPP
#define CHIVEDEAL_REQUESTS_DRAIN_CONTROLLER_HPP

#include "absl/time/time.h"

#include <cstddef>
#include <vector>

namespace chivedeal::requests {

/// Decides the phases of a node's graceful shutdown. Pure.
///
/// Callers use an address for as long as the answer that named it is valid, so the node takes
/// requests for that time after it was delisted.
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
        /// How long streams may end by themselves.
        absl::Duration drain_grace = absl::Seconds(10);
        /// After this the streams that are still here are offered again.
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
    explicit drain_controller(options times);

    /// A second call has no effect.
    void start(absl::Time now);

    /// Returns the steps that are due.
    std::vector<step> advance(absl::Time now, std::size_t open_requests);

private:
    enum class phase
    {
        serving,
        starting,
        delisted,
        ending,
        handing_off,
        finished,
    };

    bool advance_one(absl::Time now, std::size_t open_requests, std::vector<step>& steps);

    options m_options;
    phase m_phase = phase::serving;
    absl::Time m_until;
};

} // namespace chivedeal::requests

#endif
