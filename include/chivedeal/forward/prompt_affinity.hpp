#ifndef CHIVEDEAL_FORWARD_PROMPT_AFFINITY_HPP
#define CHIVEDEAL_FORWARD_PROMPT_AFFINITY_HPP

#include "chivedeal/forward/endpoint_query.hpp"

#include <cstdint>
#include <string>

namespace chivedeal::forward {

/// Converts the prefill time of `unread_tokens` that follow `cached_prompt_tokens` into the number
/// of tokens that would take as long at the start of a prompt.
double prefill_cost_tokens(std::int64_t unread_tokens, std::int64_t cached_prompt_tokens);

/// Score of an endpoint for a prompt part in rendezvous hashing. `buffer` is reused between calls,
/// as a decision computes one score for each endpoint.
std::uint64_t rendezvous_score(const std::string& part, const endpoint_id& endpoint,
                               std::string& buffer);

/// Returns the ID of the part that identifies the requests that benefit from each other's cached
/// tokens, empty if there is none. The last part belongs to this request only; the one before it
/// ends the longest shared prefix.
std::string affinity_part_id(const endpoint_query& query);

std::int64_t shared_tokens(const endpoint_query& query);

} // namespace chivedeal::forward

#endif
