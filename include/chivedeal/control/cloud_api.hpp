#ifndef CHIVEDEAL_CONTROL_CLOUD_API_HPP
#define CHIVEDEAL_CONTROL_CLOUD_API_HPP

#include "chivedeal/control/order_event.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/core/result.hpp"

#include <vector>

namespace chivedeal::control {

struct order_start;
struct order_stop;
struct pool_price;

/// The platform's instances. Calls block for at most the client's timeout. An error other than
/// `start_refused` does not say that the order had no effect.
class cloud_api
{
public:
    virtual ~cloud_api() = default;

    /// Starts an instance or finds the one that the token started before. `start_refused` when the
    /// pool has no room.
    virtual result<instance_id> start(const order_start& order) = 0;

    virtual status stop(const order_stop& order) = 0;

    virtual result<instances_listed> list() = 0;

    /// Prices of all pools of all regions.
    virtual result<std::vector<pool_price>> prices() = 0;
};

} // namespace chivedeal::control

#endif
