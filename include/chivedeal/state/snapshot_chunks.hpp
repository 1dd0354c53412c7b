#ifndef CHIVEDEAL_STATE_SNAPSHOT_CHUNKS_HPP
#define CHIVEDEAL_STATE_SNAPSHOT_CHUNKS_HPP

#include "chivedeal/state/record.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chivedeal::state {

/// Cuts an encoded snapshot into records. The change IDs are made from the data's hash, so two
/// nodes that cut different snapshots of one offset do not mix.
std::vector<record> make_snapshot_chunks(const std::string& data, std::uint64_t covered_offset,
                                         std::size_t chunk_bytes = 128 * 1024);

} // namespace chivedeal::state

#endif
