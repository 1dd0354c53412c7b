#ifndef FAKES_FAKE_CLOUD_HPP
#define FAKES_FAKE_CLOUD_HPP

#include "chivedeal/control/cloud_api.hpp"
#include "chivedeal/control/order_command.hpp"
#include "chivedeal/control/order_event.hpp"
#include "chivedeal/control/pool_price.hpp"
#include "chivedeal/core/bounded_ring.hpp"

#include <map>
#include <string>
#include <vector>

namespace chivedeal::fakes {

/// In-memory cloud. A token starts at most one instance, and instance identifiers are never reused.
class fake_cloud
{
public:
    void start(const control::order_start& order)
    {
        const std::string token = to_string(order.token);
        if (m_started.contains(token))
            return;
        m_started[token] = m_started.size();
        m_running[instance_id("i" + token)] = token;
    }

    void stop(const control::order_stop& order) { m_running.erase(order.instance); }

    control::instances_listed list() const
    {
        control::instances_listed out;
        for (const auto& [instance, token] : m_running)
            out.entries.push_back({.instance = instance, .token = token});
        return out;
    }

    std::size_t running() const { return m_running.size(); }
    std::size_t started() const { return m_started.size(); }

private:
    std::map<std::string, std::size_t> m_started;
    std::map<instance_id, std::string> m_running;
};

/// Records the starts for the test; the instance list is always empty.
class fake_cloud_api : public control::cloud_api
{
public:
    result<instance_id> start(const control::order_start& order) override
    {
        (void)m_starts.try_push(order);
        return instance_id("i" + to_string(order.token));
    }

    status stop(const control::order_stop& /*order*/) override { return ok_status(); }

    result<control::instances_listed> list() override { return control::instances_listed{}; }

    result<std::vector<control::pool_price>> prices() override { return m_prices; }

    std::vector<control::pool_price> m_prices;

    bounded_ring<control::order_start> m_starts{16};
};

} // namespace chivedeal::fakes

#endif
