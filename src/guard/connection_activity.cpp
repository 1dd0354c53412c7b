#include "chivedeal/guard/connection_activity.hpp"

#include <tuple>

namespace chivedeal::guard {

bool is_closed_before(const connection_activity& left, const connection_activity& right)
{
    const auto rank = [](const connection_activity& one) {
        return std::tuple(one.is_serving, !one.is_ending, one.has_served, one.last_activity);
    };
    return !left.is_serving && rank(left) < rank(right);
}

} // namespace chivedeal::guard
