#ifndef CHIVEDEAL_OPERATORS_CHANGE_PLAN_HPP
#define CHIVEDEAL_OPERATORS_CHANGE_PLAN_HPP

#include "chivedeal/operators/planned_change.hpp"

#include <string>
#include <vector>

namespace chivedeal::state {
struct declaration;
}

namespace chivedeal::operators {

struct declared_file;

/// Compares a directory with what is declared and returns the changes in the order in which they
/// have to be applied: services, workspaces, versions, moves; removals come last and in reverse.
///
/// What is declared but not in the directory is removed when `prune` is set and its team has at
/// least one file.
std::vector<planned_change> plan_changes(const std::vector<declared_file>& files,
                                         const std::vector<state::declaration>& declared,
                                         bool prune);

/// Formats one line, and for an update both bodies.
std::string to_string(const planned_change& change);

} // namespace chivedeal::operators

#endif
