#include "chivedeal/operators/serve_command.hpp"

namespace chivedeal::operators {

std::string serve_command::summary() const { return "run an entry node"; }

int serve_command::run(const std::vector<std::string>& /*arguments*/) { return 1; }

} // namespace chivedeal::operators
