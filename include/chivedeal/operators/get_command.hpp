#ifndef CHIVEDEAL_OPERATORS_GET_COMMAND_HPP
#define CHIVEDEAL_OPERATORS_GET_COMMAND_HPP

#include "chivedeal/operators/command.hpp"

namespace chivedeal::operators {

/// Prints declarations, or what became of a change.
class get_command : public command
{
public:
    std::string name() const override { return "get"; }
    std::string summary() const override;
    int run(const std::vector<std::string>& arguments) override;
};

} // namespace chivedeal::operators

#endif
