#ifndef CHIVEDEAL_OPERATORS_EXIT_CODE_HPP
#define CHIVEDEAL_OPERATORS_EXIT_CODE_HPP

#include "chivedeal/core/error.hpp"

namespace chivedeal::operators {

/// Maps a result to the exit code of the process, as docs/result-codes.md lists them.
int exit_code_of(result_code code);

/// Prints the error to standard error and returns its exit code.
int report_error(const error& value);

} // namespace chivedeal::operators

#endif
