#ifndef CHIVEDEAL_STATE_SNAPSHOT_CODEC_HPP
#define CHIVEDEAL_STATE_SNAPSHOT_CODEC_HPP

#include "chivedeal/core/result.hpp"

#include <string>

namespace chivedeal::state {

struct snapshot_data;

/// Encodes a snapshot as JSON. The encoding is deterministic.
std::string encode_snapshot(const snapshot_data& snapshot);

/// Decodes arbitrary bytes without throwing; returns `snapshot_invalid` with the cause on error.
result<snapshot_data> decode_snapshot(const std::string& data);

} // namespace chivedeal::state

#endif
