#ifndef CHIVEDEAL_STATE_STORED_CLAIM_HPP
#define CHIVEDEAL_STATE_STORED_CLAIM_HPP

#include "chivedeal/state/claim_entry.hpp"

#include <cstdint>

namespace chivedeal::state {

/// A claim with the offset of its result, as stored in the claim table.
struct stored_claim
{
    claim_entry entry;
    /// 0 while the claim is open.
    std::uint64_t result_offset = 0;

    friend bool operator==(const stored_claim&, const stored_claim&) = default;
};

} // namespace chivedeal::state

#endif
