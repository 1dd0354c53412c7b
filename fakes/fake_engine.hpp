#ifndef FAKES_FAKE_ENGINE_HPP
#define FAKES_FAKE_ENGINE_HPP

#include "chivedeal/control/engine_api.hpp"
#include "chivedeal/control/order_command.hpp"

namespace chivedeal::fakes {

/// Accepts every order and reports no loaded versions.
class fake_engine_api : public control::engine_api
{
public:
    status order(const address& /*engine*/, const control::order_load& /*order*/) override
    {
        return ok_status();
    }

    result<std::vector<version_id>> loaded(const address& /*engine*/) override
    {
        return std::vector<version_id>{};
    }
};

} // namespace chivedeal::fakes

#endif
