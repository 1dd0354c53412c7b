#ifndef CHIVEDEAL_FORWARD_DEMAND_METER_HPP
#define CHIVEDEAL_FORWARD_DEMAND_METER_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace chivedeal::forward {

/// Measures what callers ask of each service over all nodes, from the nodes' cumulative counts.
class demand_meter
{
public:
    /// Counts of one process since its start; a process that is heard first adds nothing.
    void on_counts(const std::string& process,
                   const std::map<service_id, std::int64_t>& asked_tokens, absl::Time now);

    /// Prompt tokens a second over the last few seconds.
    double tokens_per_second(const service_id& service, absl::Time now) const;

    /// Whether counts were heard for as long as that; before, the figure is too low.
    bool covers_span(absl::Time now) const;

private:
    std::map<std::string, std::map<service_id, std::int64_t>> m_last;
    std::map<service_id, std::map<absl::Time, std::int64_t>> m_added;
    // When counts were heard first.
    absl::Time m_since = absl::InfiniteFuture();
};

} // namespace chivedeal::forward

#endif
