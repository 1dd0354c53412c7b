#ifndef CHIVEDEAL_REQUESTS_ENDPOINT_ORDER_HPP
#define CHIVEDEAL_REQUESTS_ENDPOINT_ORDER_HPP

#include "chivedeal/requests/flow_command.hpp"

#include <variant>

namespace chivedeal::requests {

/// A short call to an endpoint, made in addition to the attempts.
using endpoint_order = std::variant<cancel_attempt, move_kv>;

} // namespace chivedeal::requests

#endif
