#ifndef CHIVEDEAL_CONTROL_PAIRED_BATCH_HPP
#define CHIVEDEAL_CONTROL_PAIRED_BATCH_HPP

#include <cstdint>

namespace chivedeal::control {

/// Outcomes of the new and the old version over the same interval. Hits are the outcomes that the
/// test counts: errors, or responses that exceed the latency target.
struct paired_batch
{
    std::uint64_t new_requests = 0;
    std::uint64_t new_hits = 0;
    std::uint64_t old_requests = 0;
    std::uint64_t old_hits = 0;

    friend bool operator==(const paired_batch&, const paired_batch&) = default;
};

} // namespace chivedeal::control

#endif
