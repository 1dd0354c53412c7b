#ifndef CHIVEDEAL_STATE_CLAIM_TABLE_HPP
#define CHIVEDEAL_STATE_CLAIM_TABLE_HPP

#include "chivedeal/core/error.hpp"
#include "chivedeal/state/claim_table_options.hpp"
#include "chivedeal/state/record.hpp"
#include "chivedeal/state/stored_claim.hpp"

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::state {

/// Determines which node may run a non-idempotent request: the one with the first claim of the
/// idempotency key in offset order.
class claim_table
{
public:
    explicit claim_table(claim_table_options options) : m_options(options) {}

    /// Fails with `claim_lost` if the key is already claimed or finished.
    error apply(const claim& value, std::uint64_t offset);

    /// Fails with `conflict` unless the claim is open and held by the given node and attempt.
    error apply(const claim_release& value);

    /// Fails with `conflict` unless the claim is open and held by the given node.
    error apply(const claim_result& value, std::uint64_t offset);

    /// Removes keys older than the window. Call before applying each record of the stream.
    void remove_expired(std::uint64_t offset);

    std::optional<claim_entry> find(const std::string& key) const;

    /// Returns all claims in offset order.
    std::vector<stored_claim> contents() const;

    void restore(const std::vector<stored_claim>& contents);

private:
    using offset_and_key = std::pair<std::uint64_t, std::string>;

    void erase(const std::string& key);
    void discard_oldest_bodies();

    claim_table_options m_options;
    absl::flat_hash_map<std::string, stored_claim> m_claims;
    std::deque<offset_and_key> m_claim_order;
    std::deque<offset_and_key> m_result_order;
    std::size_t m_body_bytes = 0;
};

} // namespace chivedeal::state

#endif
