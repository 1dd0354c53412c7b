#ifndef CHIVEDEAL_OPERATORS_SEND_COMMAND_HPP
#define CHIVEDEAL_OPERATORS_SEND_COMMAND_HPP

#include "chivedeal/operators/command.hpp"

namespace chivedeal::operators {

/// Sends a caller's request and prints the answer as it streams.
class send_command : public command
{
public:
    std::string name() const override { return "send"; }
    std::string summary() const override;
    int run(const std::vector<std::string>& arguments) override;
};

} // namespace chivedeal::operators

#endif
