#ifndef CHIVEDEAL_STATE_RECORD_CODEC_HPP
#define CHIVEDEAL_STATE_RECORD_CODEC_HPP

#include "chivedeal/core/result.hpp"

#include <string>

namespace chivedeal::state {

struct record;

/// Encodes a record as a JSON object. Lease terms are stored in whole milliseconds. Non-ASCII text
/// is stored as base64, because JSON can't represent arbitrary bytes in an answer of a service.
std::string encode_record(const record& value);

/// Decodes arbitrary bytes without throwing; returns `malformed_message` with the field name on
/// error. Ignores unknown fields, so that older nodes can read records of newer ones.
result<record> decode_record(const std::string& data);

} // namespace chivedeal::state

#endif
