#ifndef CHIVEDEAL_OPERATORS_COMMAND_HPP
#define CHIVEDEAL_OPERATORS_COMMAND_HPP

#include <string>
#include <vector>

namespace chivedeal::operators {

/// A subcommand of `chivedeal`.
class command
{
public:
    virtual ~command() = default;

    virtual std::string name() const = 0;

    /// One line for the list of subcommands.
    virtual std::string summary() const = 0;

    /// Returns the exit code; docs/result-codes.md lists them.
    virtual int run(const std::vector<std::string>& arguments) = 0;
};

} // namespace chivedeal::operators

#endif
