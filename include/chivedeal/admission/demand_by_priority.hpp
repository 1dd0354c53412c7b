#ifndef CHIVEDEAL_ADMISSION_DEMAND_BY_PRIORITY_HPP
#define CHIVEDEAL_ADMISSION_DEMAND_BY_PRIORITY_HPP

#include "absl/time/time.h"

#include <map>

namespace chivedeal::admission {

/// Tokens per second that callers of one workspace ask this node for, by priority. Divides what may
/// be admitted between the priorities.
class demand_by_priority
{
public:
    void on_request(int priority, double cost, absl::Time now);

    /// What one request adds to `total`.
    static double rate_of(double cost);

    /// Tokens per second, averaged over the recent past; over a shorter time after a rise, if that
    /// shows in several requests.
    double total(absl::Time now) const;

    /// Returns the fraction of the requests of `priority` to admit, if `fraction` of all tokens may
    /// be admitted. The most urgent are admitted first, but each priority keeps a guaranteed
    /// fraction.
    double fraction_for(int priority, double fraction) const;

    bool has_several_priorities() const { return m_rates.size() > 1; }

    /// Number of more urgent priorities that callers use.
    int more_urgent(int priority) const;

private:
    // By priority; 0, the highest, comes first.
    std::map<int, double> m_rates;
    double m_total = 0;
    double m_recent_total = 0;
    double m_recent_requests = 0;
    absl::Time m_updated_at = absl::InfinitePast();
};

} // namespace chivedeal::admission

#endif
