#ifndef CHIVEDEAL_REQUESTS_ENDPOINT_COMMAND_HPP
#define CHIVEDEAL_REQUESTS_ENDPOINT_COMMAND_HPP

#include "chivedeal/requests/flow_command.hpp"

#include <variant>

namespace chivedeal::requests {

/// A short call to an endpoint, made in addition to the attempts.
using endpoint_command = std::variant<cancel_attempt, move_kv>;

} // namespace chivedeal::requests

#endif
