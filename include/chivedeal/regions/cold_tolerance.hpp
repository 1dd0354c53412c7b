#ifndef CHIVEDEAL_REGIONS_COLD_TOLERANCE_HPP
#define CHIVEDEAL_REGIONS_COLD_TOLERANCE_HPP

namespace chivedeal::regions {

/// A cold endpoint withstands `factor` times its rate plus `slack_requests` in any one second.
struct cold_tolerance
{
    double factor = 1.5;
    double slack_requests = 5;

    friend bool operator==(const cold_tolerance&, const cold_tolerance&) = default;
};

} // namespace chivedeal::regions

#endif
