#ifndef FAKES_FAKE_CONTROL_LOG_HPP
#define FAKES_FAKE_CONTROL_LOG_HPP

#include "chivedeal/state/applied_record.hpp"
#include "chivedeal/state/lease.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chivedeal::fakes {

/// Control stream in memory that rejects repeated changes and stale lease grants.
class fake_control_log
{
public:
    void append(const state::record& entry)
    {
        const bool repeated = !m_changes.insert(entry.change).second;
        state::applied_record applied{
            .stream = "control", .offset = ++m_last_offset, .entry = entry, .effect = {}};
        const auto* grant = std::get_if<state::lease_grant>(&entry.body);
        if (repeated || (grant != nullptr && !try_grant(*grant)))
            applied.effect = {.code = result_code::conflict,
                              .message =
                                  "the change is a duplicate or does not follow the newest grant"};
        m_applied.push_back(applied);
    }

    const std::vector<state::applied_record>& applied() const { return m_applied; }
    const std::map<std::string, state::lease>& leases() const { return m_leases; }

private:
    bool try_grant(const state::lease_grant& grant)
    {
        state::lease& lease = m_leases[grant.scope];
        if (lease.renewal != grant.previous_offset)
            return false;
        if (lease.holder != grant.holder)
            lease.fence = m_last_offset;
        lease.scope = grant.scope;
        lease.holder = grant.holder;
        lease.term = grant.term;
        lease.renewal = m_last_offset;
        return true;
    }

    std::uint64_t m_last_offset = 0;
    std::set<change_id> m_changes;
    std::vector<state::applied_record> m_applied;
    std::map<std::string, state::lease> m_leases;
};

} // namespace chivedeal::fakes

#endif
