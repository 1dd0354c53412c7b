#ifndef CHIVEDEAL_FORWARD_BEACON_CODEC_HPP
#define CHIVEDEAL_FORWARD_BEACON_CODEC_HPP

#include "chivedeal/core/result.hpp"
#include "chivedeal/forward/node_beacon.hpp"

#include <string>

namespace chivedeal::forward {

/// Encodes as MessagePack.
std::string encode_beacon(const node_beacon& beacon);

/// Errors: `malformed_message`.
result<node_beacon> decode_beacon(const std::string& bytes);

} // namespace chivedeal::forward

#endif
