#ifndef CHIVEDEAL_CONTROL_HTTP_CLOUD_API_HPP
#define CHIVEDEAL_CONTROL_HTTP_CLOUD_API_HPP

#include "chivedeal/control/cloud_api.hpp"
#include "chivedeal/core/address.hpp"

#include <string>
#include <utility>
#include <vector>

namespace chivedeal::control {

/// Parses the response to `GET /cloud/prices`. Any invalid entry fails the whole list with
/// `malformed_message`, so that a pool is never silently missing from the offers.
result<std::vector<pool_price>> parse_prices(const std::string& body);

/// Implements `cloud_api` over HTTP.
class http_cloud_api : public cloud_api
{
public:
    explicit http_cloud_api(address platform) : m_platform(std::move(platform)) {}

    result<instance_id> start(const order_start& order) override;
    status stop(const order_stop& order) override;
    result<instances_listed> list() override;
    result<std::vector<pool_price>> prices() override;

private:
    address m_platform;
};

} // namespace chivedeal::control

#endif
