#ifndef CHIVEDEAL_FORWARD_ENDPOINT_CHOICE_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_CHOICE_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>

namespace chivedeal::forward {

/// The endpoint chosen for an attempt and what decided.
struct endpoint_choice
{
    endpoint_id id;
    chivedeal::address address;
    version_id version;
    /// Predicted time to the first byte of the answer.
    absl::Duration predicted;
    /// Prompt tokens that the endpoint is expected to hold already.
    std::int64_t cached_tokens = 0;
    /// What the endpoint has to read, in tokens of a short prompt: later ones take longer.
    std::int64_t reading_tokens = 0;
    /// Endpoints that could have been chosen.
    int candidates = 0;

    friend bool operator==(const endpoint_choice&, const endpoint_choice&) = default;
};

} // namespace chivedeal::forward

#endif
