#ifndef CHIVEDEAL_MEMBERSHIP_PEER_CODEC_HPP
#define CHIVEDEAL_MEMBERSHIP_PEER_CODEC_HPP

#include "chivedeal/core/result.hpp"

#include <string>
#include <string_view>

namespace chivedeal::membership {

struct gossip_message;
struct stream_state;

/// Encodes as a packed Cap'n Proto message. Times are kept to the millisecond.
std::string encode_gossip(const gossip_message& value);

/// `malformed_message` when the input is not a message, too large or has values out of range.
result<gossip_message> decode_gossip(std::string_view bytes);

std::string encode_stream(const stream_state& value);
result<stream_state> decode_stream(std::string_view bytes);

} // namespace chivedeal::membership

#endif
