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

/// Starts, stops and lists instances on the cloud platform. Calls block for at most the timeout of
/// the client. After an error other than `start_refused` the order may still have taken effect.
class cloud_api
{
public:
    virtual ~cloud_api() = default;

    /// Starts an instance or returns the one that was started earlier with the same token. Returns
    /// `start_refused` if the pool has no capacity.
    virtual result<instance_id> start(const order_start& order) = 0;

    virtual status stop(const order_stop& order) = 0;

    virtual result<instances_listed> list() = 0;

    /// Returns the prices of all pools in all regions.
    virtual result<std::vector<pool_price>> prices() = 0;
};

} // namespace chivedeal::control

#endif
