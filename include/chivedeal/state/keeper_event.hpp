#ifndef CHIVEDEAL_STATE_KEEPER_EVENT_HPP
#define CHIVEDEAL_STATE_KEEPER_EVENT_HPP

#include "chivedeal/core/error.hpp"
#include "chivedeal/state/log_batch.hpp"

#include <memory>
#include <string>
#include <variant>

namespace chivedeal::membership {
struct membership_view;
}

namespace chivedeal::state {

/// A read of the log failed.
struct log_failure
{
    std::string stream;
    error reason;

    friend bool operator==(const log_failure&, const log_failure&) = default;
};

/// Event on the state keeper's ring.
using keeper_event =
    std::variant<log_batch, log_failure, std::shared_ptr<const membership::membership_view>>;

} // namespace chivedeal::state

#endif
