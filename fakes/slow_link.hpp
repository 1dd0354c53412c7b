#ifndef FAKES_SLOW_LINK_HPP
#define FAKES_SLOW_LINK_HPP

#include "absl/time/time.h"

#include <cstddef>

namespace chivedeal::fakes {

/// How a caller on a slow link reads.
struct slow_link
{
    int receive_buffer_bytes = 32 * 1024;
    std::size_t bytes_per_read = 50 * 1000;
    absl::Duration pause_between_reads = absl::Milliseconds(20);

    friend bool operator==(const slow_link&, const slow_link&) = default;
};

} // namespace chivedeal::fakes

#endif
