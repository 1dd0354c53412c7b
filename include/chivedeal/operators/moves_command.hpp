#ifndef CHIVEDEAL_OPERATORS_MOVES_COMMAND_HPP
#define CHIVEDEAL_OPERATORS_MOVES_COMMAND_HPP

#include "chivedeal/operators/command.hpp"

namespace chivedeal::operators {

/// Lists version moves, waits for one, or rolls one back.
class moves_command : public command
{
public:
    std::string name() const override { return "moves"; }
    std::string summary() const override;
    int run(const std::vector<std::string>& arguments) override;
};

} // namespace chivedeal::operators

#endif
