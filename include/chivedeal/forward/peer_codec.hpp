#ifndef CHIVEDEAL_FORWARD_PEER_CODEC_HPP
#define CHIVEDEAL_FORWARD_PEER_CODEC_HPP

#include "chivedeal/core/result.hpp"
#include "chivedeal/forward/beacon_bundle.hpp"
#include "chivedeal/forward/node_beacon.hpp"
#include "chivedeal/forward/prompt_notice.hpp"
#include "chivedeal/forward/relayed_batch.hpp"

#include <string>
#include <variant>

namespace chivedeal::forward {

/// Content of a datagram between nodes.
using peer_message = std::variant<node_beacon, relayed_batch, beacon_bundle, prompt_notice>;

/// Encodes as MessagePack.
std::string encode_message(const peer_message& message);

/// Errors: `malformed_message`.
result<peer_message> decode_message(const std::string& bytes);

} // namespace chivedeal::forward

#endif
