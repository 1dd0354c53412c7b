#ifndef CHIVEDEAL_CONTROL_ENGINE_API_HPP
#define CHIVEDEAL_CONTROL_ENGINE_API_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/core/result.hpp"

#include <vector>

namespace chivedeal::control {

struct order_load;

/// Sends orders to engines. Calls block for at most the timeout of the client.
class engine_api
{
public:
    virtual ~engine_api() = default;

    /// Returns `stale_fence` if the engine has accepted an order with a higher fencing token.
    virtual status order(const address& engine, const order_load& order) = 0;

    /// Returns the versions that are currently loaded.
    virtual result<std::vector<version_id>> loaded(const address& engine) = 0;
};

} // namespace chivedeal::control

#endif
