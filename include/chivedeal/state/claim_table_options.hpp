#ifndef CHIVEDEAL_STATE_CLAIM_TABLE_OPTIONS_HPP
#define CHIVEDEAL_STATE_CLAIM_TABLE_OPTIONS_HPP

#include <cstddef>
#include <cstdint>

namespace chivedeal::state {

/// Limits of a claim table. Must be the same on every node, since they affect whether later claims
/// are granted.
struct claim_table_options
{
    /// Number of later records after which a key expires. Counted in offsets rather than time,
    /// since records carry no time that all nodes agree on. 100,000 records are half of a 24-hour
    /// retention at 4.6 records per second.
    std::uint64_t window = 100'000;
    /// Maximum total size of result bodies; above it the oldest results become `unknown`.
    std::size_t max_body_bytes = 4 * 1024 * 1024;
};

} // namespace chivedeal::state

#endif
