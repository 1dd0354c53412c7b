#ifndef CHIVEDEAL_ENDPOINTS_LOAD_READING_HPP
#define CHIVEDEAL_ENDPOINTS_LOAD_READING_HPP

#include <optional>
#include <string_view>

namespace chivedeal::endpoints {

/// Load that an endpoint reports about itself in the head of a response.
struct load_reading
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// How long work takes now, as a multiple of the usual time. Some services don't report it.
    std::optional<double> pace;

    friend bool operator==(const load_reading&, const load_reading&) = default;
};

/// Parses "RUNNING,WAITING,SLOTS[,PACE_PERCENT]". Further figures are ignored, and so is a pace that
/// isn't plausible. Returns nothing if the first three figures are malformed or contradict each
/// other.
std::optional<load_reading> parse_load_reading(std::string_view text);

} // namespace chivedeal::endpoints

#endif
