#ifndef CHIVEDEAL_OPERATORS_DRAIN_COMMAND_HPP
#define CHIVEDEAL_OPERATORS_DRAIN_COMMAND_HPP

#include "chivedeal/operators/command.hpp"

namespace chivedeal::operators {

/// Makes a node stop gracefully.
class drain_command : public command
{
public:
    std::string name() const override { return "drain"; }
    std::string summary() const override;
    int run(const std::vector<std::string>& arguments) override;
};

} // namespace chivedeal::operators

#endif
