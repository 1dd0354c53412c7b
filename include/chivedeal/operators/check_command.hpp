#ifndef CHIVEDEAL_OPERATORS_CHECK_COMMAND_HPP
#define CHIVEDEAL_OPERATORS_CHECK_COMMAND_HPP

#include "chivedeal/operators/command.hpp"

namespace chivedeal::operators {

/// Checks a directory of declarations, or the settings of a node, without a server.
class check_command : public command
{
public:
    std::string name() const override { return "check"; }
    std::string summary() const override;
    int run(const std::vector<std::string>& arguments) override;
};

} // namespace chivedeal::operators

#endif
