#ifndef CHIVEDEAL_STATE_SNAPSHOT_CODEC_HPP
#define CHIVEDEAL_STATE_SNAPSHOT_CODEC_HPP

#include "chivedeal/core/result.hpp"

#include <string>

namespace chivedeal::state {

struct snapshot_data;

/// Encodes a snapshot as JSON; equal data give equal bytes.
std::string encode_snapshot(const snapshot_data& snapshot);

/// Decodes any bytes without throwing; `snapshot_invalid` says what is wrong.
result<snapshot_data> decode_snapshot(const std::string& data);

} // namespace chivedeal::state

#endif
