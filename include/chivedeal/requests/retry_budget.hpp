#ifndef CHIVEDEAL_REQUESTS_RETRY_BUDGET_HPP
#define CHIVEDEAL_REQUESTS_RETRY_BUDGET_HPP

#include "absl/time/time.h"

namespace chivedeal::requests {

/// Bounds retries to a share of recent first attempts, so that they cannot multiply an outage.
///
/// Over any time T at most `minimum` x (1 + T / `window`) + `share` x first attempts are granted.
class retry_budget
{
public:
    struct options
    {
        /// Retries for each first attempt.
        double share = 0.1;
        /// Retries that a node with little traffic has.
        double minimum = 3;
        /// Time constant with which attempts and retries are forgotten.
        absl::Duration window = absl::Seconds(10);
    };

    retry_budget();
    explicit retry_budget(options tunables);

    void on_first_attempt(absl::Time now);

    /// Takes one retry from the budget; false when it is spent.
    bool try_spend(absl::Time now);

private:
    void decay(absl::Time now);

    options m_options;
    double m_first_attempts = 0;
    double m_retries = 0;
    absl::Time m_updated = absl::InfinitePast();
};

} // namespace chivedeal::requests

#endif
