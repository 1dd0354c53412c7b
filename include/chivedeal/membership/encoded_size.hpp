#ifndef CHIVEDEAL_MEMBERSHIP_ENCODED_SIZE_HPP
#define CHIVEDEAL_MEMBERSHIP_ENCODED_SIZE_HPP

#include "chivedeal/membership/fact.hpp"
#include "chivedeal/membership/gossip_message.hpp"

#include <cstddef>

namespace chivedeal::membership {

/// Upper bounds of what an item adds to an encoded message, in bytes. They let the decisions keep
/// to a byte budget without knowing the encoding; a test compares them with the encoder.
std::size_t encoded_size(const node_record& value);
std::size_t encoded_size(const fact& value);
std::size_t encoded_size(const workspace_demand& value);
std::size_t encoded_size(const outcome_report& value);

/// Bound of a message with no items.
std::size_t encoded_header_size(const gossip_message& value);

} // namespace chivedeal::membership

#endif
