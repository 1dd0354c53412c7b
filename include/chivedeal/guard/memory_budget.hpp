#ifndef CHIVEDEAL_GUARD_MEMORY_BUDGET_HPP
#define CHIVEDEAL_GUARD_MEMORY_BUDGET_HPP

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace chivedeal::guard {

/// Accounts memory per connection and names the connection that holds most.
class memory_budget
{
public:
    explicit memory_budget(std::size_t limit_bytes) : m_limit_bytes(limit_bytes) {}

    /// Replaces what a connection holds. Rounded up to `granularity_bytes`.
    void set(std::uint64_t connection, std::size_t bytes);
    void remove(std::uint64_t connection);

    std::size_t held(std::uint64_t connection) const;
    std::size_t total() const { return m_total_bytes; }
    bool is_exceeded() const { return m_total_bytes > m_limit_bytes; }
    /// Of connections that hold the same, the one with the highest number, which is the newest.
    std::optional<std::uint64_t> heaviest() const;

    /// Smaller changes of a connection don't reorder the connections.
    static constexpr std::size_t granularity_bytes = 1024;

private:
    std::size_t m_limit_bytes;
    std::size_t m_total_bytes = 0;
    absl::flat_hash_map<std::uint64_t, std::size_t> m_held;
    std::set<std::pair<std::size_t, std::uint64_t>> m_by_size;
};

} // namespace chivedeal::guard

#endif
