#ifndef CHIVEDEAL_STATE_CLAIM_ENTRY_HPP
#define CHIVEDEAL_STATE_CLAIM_ENTRY_HPP

#include "chivedeal/core/id.hpp"

#include <cstdint>
#include <string>

namespace chivedeal::state {

/// State of a claimed idempotency key.
struct claim_entry
{
    std::string key;
    node_id node;
    int attempt = 0;
    std::uint64_t offset = 0;
    bool finished = false;
    /// `answered`, `failed` or `unknown` if finished, else empty.
    std::string outcome;
    std::string body;

    friend bool operator==(const claim_entry&, const claim_entry&) = default;
};

} // namespace chivedeal::state

#endif
