#ifndef CHIVEDEAL_FORWARD_OPERATOR_RECORD_HPP
#define CHIVEDEAL_FORWARD_OPERATOR_RECORD_HPP

#include "chivedeal/forward/rollout_order.hpp"
#include "chivedeal/forward/traffic_config.hpp"
#include "chivedeal/regions/zone_evacuation.hpp"

#include <variant>

namespace chivedeal::forward {

/// A decoded record of the configuration topic; `std::monostate` for kinds that nodes ignore.
using operator_record =
    std::variant<std::monostate, traffic_config, rollout_order, regions::zone_evacuation>;

} // namespace chivedeal::forward

#endif
