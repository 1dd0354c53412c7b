#ifndef CHIVEDEAL_STATE_CHANGE_ID_HISTORY_HPP
#define CHIVEDEAL_STATE_CHANGE_ID_HISTORY_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/state/remembered_change.hpp"

#include "absl/container/flat_hash_set.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace chivedeal::state {

/// Remembers the newest change IDs of a stream, so that a repeated record takes effect once.
///
/// Holds a fixed number of hashes in the order of their offsets, hence the same on every node.
class change_id_history
{
public:
    explicit change_id_history(std::size_t capacity) : m_capacity(capacity) {}

    /// Returns false when the ID is known.
    bool add(const change_id& id);

    /// The remembered hashes, oldest first.
    std::vector<remembered_change> contents() const { return {m_order.begin(), m_order.end()}; }

    void restore(const std::vector<remembered_change>& contents);

private:
    bool insert(const remembered_change& change);

    std::size_t m_capacity;
    std::deque<remembered_change> m_order;
    absl::flat_hash_set<remembered_change> m_hashes;
};

} // namespace chivedeal::state

#endif
