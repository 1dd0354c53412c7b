#include "chivedeal/state/change_id_history.hpp"

#include <xxhash.h>

namespace chivedeal::state {

bool change_id_history::add(const change_id& id)
{
    const XXH128_hash_t hash = XXH3_128bits(id.str().data(), id.str().size());
    return insert({.hash = {hash.high64, hash.low64}});
}

void change_id_history::restore(const std::vector<remembered_change>& contents)
{
    m_order.clear();
    m_hashes.clear();
    for (const remembered_change& change : contents)
        insert(change);
}

bool change_id_history::insert(const remembered_change& change)
{
    if (!m_hashes.insert(change).second)
        return false;
    m_order.push_back(change);
    if (m_order.size() > m_capacity) {
        m_hashes.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

} // namespace chivedeal::state
