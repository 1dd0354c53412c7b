#ifndef CHIVEDEAL_OPERATORS_DIFF_COMMAND_HPP
#define CHIVEDEAL_OPERATORS_DIFF_COMMAND_HPP

#include "chivedeal/operators/command.hpp"

namespace chivedeal::operators {

/// Prints how a directory of declarations differs from the cluster.
class diff_command : public command
{
public:
    std::string name() const override { return "diff"; }
    std::string summary() const override;
    int run(const std::vector<std::string>& arguments) override;
};

} // namespace chivedeal::operators

#endif
