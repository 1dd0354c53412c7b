#include "chivedeal/forward/outcome_ledger.hpp"

#include <algorithm>

namespace chivedeal::forward {

void outcome_ledger::add(const std::string& process, const version_outcomes& counts)
{
    version_outcomes& known = m_counts[process];
    known.target_good = std::max(known.target_good, counts.target_good);
    known.target_bad = std::max(known.target_bad, counts.target_bad);
    known.other_good = std::max(known.other_good, counts.other_good);
    known.other_bad = std::max(known.other_bad, counts.other_bad);
    known.compared_good = std::max(known.compared_good, counts.compared_good);
    known.compared_bad = std::max(known.compared_bad, counts.compared_bad);
    known.expected_bad_milli = std::max(known.expected_bad_milli, counts.expected_bad_milli);
}

void outcome_ledger::merge(const outcome_ledger& other)
{
    for (const auto& [process, counts] : other.m_counts)
        add(process, counts);
}

version_outcomes outcome_ledger::total() const
{
    version_outcomes sum;
    for (const auto& [process, counts] : m_counts) {
        sum.target_good += counts.target_good;
        sum.target_bad += counts.target_bad;
        sum.other_good += counts.other_good;
        sum.other_bad += counts.other_bad;
        sum.compared_good += counts.compared_good;
        sum.compared_bad += counts.compared_bad;
        sum.expected_bad_milli += counts.expected_bad_milli;
    }
    return sum;
}

} // namespace chivedeal::forward
