#ifndef CHIVEDEAL_CONTROL_HTTP_ENGINE_API_HPP
#define CHIVEDEAL_CONTROL_HTTP_ENGINE_API_HPP

#include "chivedeal/control/engine_api.hpp"

namespace chivedeal::control {

/// Implements `engine_api` over HTTP.
class http_engine_api : public engine_api
{
public:
    status order(const address& engine, const order_load& order) override;
    result<std::vector<version_id>> loaded(const address& engine) override;
};

} // namespace chivedeal::control

#endif
