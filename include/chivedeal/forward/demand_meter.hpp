#ifndef CHIVEDEAL_FORWARD_DEMAND_METER_HPP
#define CHIVEDEAL_FORWARD_DEMAND_METER_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace chivedeal::forward {

/// Measures the requested prompt tokens per second of each service across all nodes, from the
/// nodes' cumulative counts.
class demand_meter
{
public:
    /// Takes the counts of one process since its start. The first counts of a process only serve as
    /// its baseline.
    void on_counts(const std::string& process,
                   const std::map<service_id, std::int64_t>& requested_tokens, absl::Time now);

    /// Prompt tokens per second, averaged over the last few seconds.
    double tokens_per_second(const service_id& service, absl::Time now) const;

    /// Whether counts have been received for a whole averaging window. Until then the rate is too
    /// low.
    bool covers_averaging_window(absl::Time now) const;

private:
    std::map<std::string, std::map<service_id, std::int64_t>> m_last_counts;
    std::map<service_id, std::map<absl::Time, std::int64_t>> m_added_tokens;
    absl::Time m_first_heard_at = absl::InfiniteFuture();
};

} // namespace chivedeal::forward

#endif
