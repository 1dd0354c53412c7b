#ifndef CHIVEDEAL_OPERATORS_SERVE_COMMAND_HPP
#define CHIVEDEAL_OPERATORS_SERVE_COMMAND_HPP

#include "chivedeal/operators/command.hpp"

namespace chivedeal::operators {

/// Runs an entry node until SIGTERM or SIGINT, then stops it gracefully.
class serve_command : public command
{
public:
    std::string name() const override { return "serve"; }
    std::string summary() const override;
    int run(const std::vector<std::string>& arguments) override;
};

} // namespace chivedeal::operators

#endif
