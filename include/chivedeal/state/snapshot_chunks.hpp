#ifndef CHIVEDEAL_STATE_SNAPSHOT_CHUNKS_HPP
#define CHIVEDEAL_STATE_SNAPSHOT_CHUNKS_HPP

#include "chivedeal/state/record.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chivedeal::state {

/// Splits an encoded snapshot into records. Change IDs derive from the hash of the data, so chunks
/// of different snapshots that two nodes write at the same offset are not mixed.
std::vector<record> make_snapshot_chunks(const std::string& data, std::uint64_t covered_offset,
                                         std::size_t chunk_bytes = 128 * 1024);

} // namespace chivedeal::state

#endif
