#ifndef CHIVEDEAL_CONTROL_ENGINE_API_HPP
#define CHIVEDEAL_CONTROL_ENGINE_API_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/core/result.hpp"

#include <vector>

namespace chivedeal::control {

struct order_load;

/// Orders to engines. Calls block for at most the client's timeout.
class engine_api
{
public:
    virtual ~engine_api() = default;

    /// `stale_fence` when the engine has taken an order with a higher fence.
    virtual status order(const address& engine, const order_load& order) = 0;

    /// Versions that are loaded now.
    virtual result<std::vector<version_id>> loaded(const address& engine) = 0;
};

} // namespace chivedeal::control

#endif
