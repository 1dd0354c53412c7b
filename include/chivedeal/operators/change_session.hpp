#ifndef CHIVEDEAL_OPERATORS_CHANGE_SESSION_HPP
#define CHIVEDEAL_OPERATORS_CHANGE_SESSION_HPP

#include "chivedeal/core/result.hpp"
#include "chivedeal/operators/command_line.hpp"
#include "chivedeal/operators/operator_client.hpp"
#include "chivedeal/operators/planned_change.hpp"

#include <string>
#include <vector>

namespace chivedeal::operators {

/// Compares a directory of declarations with the cluster and applies the difference; shared by
/// `apply` and `diff`. Both print to standard output and return the exit code.
class change_session
{
public:
    /// The directory is the first word of `line`.
    explicit change_session(const command_line& line);

    int print_difference();

    /// Stops at the first change that is not accepted; those before it stay in force.
    int apply();

private:
    result<std::vector<planned_change>> plan();

    command_line m_line;
    operator_client m_client;
};

} // namespace chivedeal::operators

#endif
