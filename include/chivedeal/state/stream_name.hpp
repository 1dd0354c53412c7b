#ifndef CHIVEDEAL_STATE_STREAM_NAME_HPP
#define CHIVEDEAL_STATE_STREAM_NAME_HPP

#include "chivedeal/state/record.hpp"

#include <string>

namespace chivedeal::state {

inline const std::string control_stream = "control";
inline const std::string claims_stream = "claims";

/// Returns the stream of the log that carries records of this type.
inline const std::string& stream_of(const record_body& body)
{
    const bool is_claim = std::holds_alternative<claim>(body) ||
                          std::holds_alternative<claim_release>(body) ||
                          std::holds_alternative<claim_result>(body);
    return is_claim ? claims_stream : control_stream;
}

} // namespace chivedeal::state

#endif
