#include "chivedeal/operators/exit_code.hpp"

#include <cstdio>

namespace chivedeal::operators {

int exit_code_of(result_code code)
{
    switch (code) {
    case result_code::ok:
        return 0;
    case result_code::usage:
    case result_code::invalid_setting:
        return 2;
    case result_code::declarations_differ:
        return 3;
    case result_code::move_rolled_back:
        return 4;
    case result_code::outcome_unknown:
        return 5;
    default:
        return 1;
    }
}

int report_error(const error& value)
{
    std::fprintf(stderr, "%s\n", to_string(value).c_str());
    return exit_code_of(value.code);
}

} // namespace chivedeal::operators
