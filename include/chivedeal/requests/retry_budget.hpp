#ifndef CHIVEDEAL_REQUESTS_RETRY_BUDGET_HPP
#define CHIVEDEAL_REQUESTS_RETRY_BUDGET_HPP

#include "absl/time/time.h"

namespace chivedeal::requests {

/// Limits retries to a fraction of recent first attempts, so that they cannot amplify an outage.
///
/// In any period T at most `min_retries` x (1 + T / `window`) + `ratio` x first attempts are
/// granted.
class retry_budget
{
public:
    struct options
    {
        /// Retries allowed per first attempt.
        double ratio = 0.1;
        /// Retries allowed regardless of first attempts, for nodes with little traffic.
        double min_retries = 3;
        /// Time constant of the exponential decay of the counts of first attempts and retries.
        absl::Duration window = absl::Seconds(10);
    };

    retry_budget();
    explicit retry_budget(options tunables);

    void on_first_attempt(absl::Time now);

    /// Takes one retry from the budget; returns false if the budget is exhausted.
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
