#ifndef CHIVEDEAL_STATE_CLAIM_TABLE_OPTIONS_HPP
#define CHIVEDEAL_STATE_CLAIM_TABLE_OPTIONS_HPP

#include <cstddef>
#include <cstdint>

namespace chivedeal::state {

/// Memory of a claim table. Must be the same on every node, since it decides on later claims.
struct claim_table_options
{
    /// A key is forgotten when this many later records are in the stream. Counted in offsets and
    /// not in time, since records carry no time on which all nodes agree: 100,000 records are
    /// half of a retention of 24 hours at 4.6 records a second.
    std::uint64_t window = 100'000;
    /// Bodies of results; beyond it the oldest results become `unknown`.
    std::size_t max_body_bytes = 4 * 1024 * 1024;
};

} // namespace chivedeal::state

#endif
