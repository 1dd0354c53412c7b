#ifndef CHIVEDEAL_FORWARD_OUTCOME_LEDGER_HPP
#define CHIVEDEAL_FORWARD_OUTCOME_LEDGER_HPP

#include "chivedeal/forward/version_outcomes.hpp"

#include <map>
#include <string>

namespace chivedeal::forward {

/// Counts of one roll-out by the process that made them, including processes that have ended. A
/// process's counts only rise, so the higher ones replace the lower, and ledgers can be merged
/// without counting a response twice.
class outcome_ledger
{
public:
    /// `process` is unique to one start of a node.
    void add(const std::string& process, const version_outcomes& counts);
    void merge(const outcome_ledger& other);

    const std::map<std::string, version_outcomes>& by_process() const { return m_counts; }
    /// Sum over all processes.
    version_outcomes total() const;

    friend bool operator==(const outcome_ledger&, const outcome_ledger&) = default;

private:
    std::map<std::string, version_outcomes> m_counts;
};

} // namespace chivedeal::forward

#endif
