#ifndef CHIVEDEAL_STATE_RECORD_CODEC_HPP
#define CHIVEDEAL_STATE_RECORD_CODEC_HPP

#include "chivedeal/core/result.hpp"

#include <string>

namespace chivedeal::state {

struct record;

/// Encodes a record as one JSON object. Lease terms are kept in whole milliseconds; text that is
/// not ASCII is kept as base64, since JSON can't hold every byte that a service answers.
std::string encode_record(const record& value);

/// Decodes any bytes without throwing; `malformed_message` names the field. Unknown fields are
/// skipped, so that an older node reads records of a newer one.
result<record> decode_record(const std::string& data);

} // namespace chivedeal::state

#endif
