#ifndef CHIVEDEAL_OPERATORS_STATUS_COMMAND_HPP
#define CHIVEDEAL_OPERATORS_STATUS_COMMAND_HPP

#include "chivedeal/operators/command.hpp"

namespace chivedeal::operators {

/// Prints nodes, applied offsets, endpoints and versions.
class status_command : public command
{
public:
    std::string name() const override { return "status"; }
    std::string summary() const override;
    int run(const std::vector<std::string>& arguments) override;
};

} // namespace chivedeal::operators

#endif
