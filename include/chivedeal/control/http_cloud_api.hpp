#ifndef CHIVEDEAL_CONTROL_HTTP_CLOUD_API_HPP
#define CHIVEDEAL_CONTROL_HTTP_CLOUD_API_HPP

#include "chivedeal/control/cloud_api.hpp"
#include "chivedeal/core/address.hpp"

#include <utility>

namespace chivedeal::control {

/// Speaks HTTP to the platform.
class http_cloud_api : public cloud_api
{
public:
    explicit http_cloud_api(address platform) : m_platform(std::move(platform)) {}

    result<instance_id> start(const order_start& order) override;
    status stop(const order_stop& order) override;
    result<instances_listed> list() override;

private:
    address m_platform;
};

} // namespace chivedeal::control

#endif
