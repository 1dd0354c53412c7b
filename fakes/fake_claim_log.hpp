#ifndef FAKES_FAKE_CLAIM_LOG_HPP
#define FAKES_FAKE_CLAIM_LOG_HPP

#include "chivedeal/state/applied_record.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace chivedeal::fakes {

/// In-memory claims stream with the effect of each record. A record that is appended twice appears
/// twice with the same effect, since readers must handle such duplicates.
class fake_claim_log
{
public:
    void append(const state::record& entry)
    {
        const bool repeated = !m_seen_changes.insert(entry.change).second;
        const bool ok = repeated ? m_effects[entry.change] : apply(entry);
        m_effects[entry.change] = ok;
        m_records.push_back(
            {.stream = "claims",
             .offset = m_records.size() + 1,
             .entry = entry,
             .effect = {.code = ok ? result_code::ok : result_code::conflict, .message = {}}});
    }

    const std::vector<state::applied_record>& records() const { return m_records; }

private:
    struct holder
    {
        node_id node;
        int attempt = 0;
        bool finished = false;
    };

    bool apply(const state::record& entry)
    {
        if (const auto* claimed = std::get_if<state::claim>(&entry.body))
            return m_holders
                .try_emplace(claimed->key, holder{claimed->node, claimed->attempt, false})
                .second;
        if (const auto* released = std::get_if<state::claim_release>(&entry.body)) {
            const auto it = m_holders.find(released->key);
            if (it == m_holders.end() || it->second.node != released->node ||
                it->second.attempt != released->attempt || it->second.finished)
                return false;
            m_holders.erase(it);
            return true;
        }
        const auto& finished = std::get<state::claim_result>(entry.body);
        const auto it = m_holders.find(finished.key);
        if (it == m_holders.end() || it->second.node != finished.node)
            return false;
        it->second.finished = true;
        return true;
    }

    std::vector<state::applied_record> m_records;
    std::set<change_id> m_seen_changes;
    std::map<change_id, bool> m_effects;
    std::map<std::string, holder> m_holders;
};

} // namespace chivedeal::fakes

#endif
