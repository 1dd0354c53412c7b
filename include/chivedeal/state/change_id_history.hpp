#ifndef CHIVEDEAL_STATE_CHANGE_ID_HISTORY_HPP
#define CHIVEDEAL_STATE_CHANGE_ID_HISTORY_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/state/remembered_change.hpp"

#include "absl/container/flat_hash_set.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace chivedeal::state {

/// Keeps the most recent change IDs of a stream to detect duplicate records.
///
/// Holds a bounded number of hashes in offset order, so the contents are the same on every node.
class change_id_history
{
public:
    explicit change_id_history(std::size_t capacity) : m_capacity(capacity) {}

    /// Adds an ID; returns false if it is already in the history.
    bool add(const change_id& id);

    /// Returns the hashes, oldest first.
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
