#ifndef CHIVEDEAL_OPERATORS_APPLY_COMMAND_HPP
#define CHIVEDEAL_OPERATORS_APPLY_COMMAND_HPP

#include "chivedeal/operators/command.hpp"

namespace chivedeal::operators {

/// Makes the cluster agree with a directory of declarations.
class apply_command : public command
{
public:
    std::string name() const override { return "apply"; }
    std::string summary() const override;
    int run(const std::vector<std::string>& arguments) override;
};

} // namespace chivedeal::operators

#endif
