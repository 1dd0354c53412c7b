#ifndef CHIVEDEAL_REGIONS_GATE_VERDICT_HPP
#define CHIVEDEAL_REGIONS_GATE_VERDICT_HPP

namespace chivedeal::regions {

/// Whether an endpoint may get a request now, and otherwise why not. Later reasons are closer to
/// the use of the endpoint.
enum class gate_verdict
{
    outside_home_regions,
    zone_evacuated,
    no_cold_permit,
    allowed,
};

} // namespace chivedeal::regions

#endif
