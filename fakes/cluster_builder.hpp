#ifndef FAKES_CLUSTER_BUILDER_HPP
#define FAKES_CLUSTER_BUILDER_HPP

#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/requests/route_query.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace chivedeal::fakes {

/// Builds small states and views: service `s` with current version `v1`, and endpoints `e0`, `e1`,
/// ... distributed over zones `z0`, `z1`, ... with two zones per region.
class cluster_builder
{
public:
    explicit cluster_builder(int endpoints, int zones = 6)
    {
        m_state.services[service_id("s")] =
            std::make_shared<const state::service>(state::service{.name = service_id("s")});
        m_state.current_versions[service_id("s")] = version_id("v1");
        declare("v1", 1);
        m_view.self = node_id("n0");
        for (int i = 0; i < endpoints; ++i)
            add(i, i % zones);
    }

    cluster_builder& add(int number, int zone, const std::string& version = "v1")
    {
        membership::endpoint added;
        added.id = endpoint_id("e" + std::to_string(number));
        added.zone = zone_id("z" + std::to_string(zone));
        added.region = region_id("r" + std::to_string(zone / 2));
        added.service = service_id("s");
        added.version = version_id(version);
        m_view.endpoints.push_back(std::move(added));
        return *this;
    }

    cluster_builder& declare(const std::string& version, std::uint64_t offset)
    {
        m_state.versions[{service_id("s"), version_id(version)}] =
            std::make_shared<const state::endpoint_version>(
                state::endpoint_version{.service = service_id("s"),
                                        .name = version_id(version),
                                        .declared_offset = offset});
        return *this;
    }

    cluster_builder& move(double share, state::move_status status = state::move_status::open)
    {
        m_state.moves[service_id("s")] = std::make_shared<const state::version_move>(
            state::version_move{.service = service_id("s"),
                                .from = version_id("v1"),
                                .to = version_id("v2"),
                                .share = share,
                                .status = status});
        return *this;
    }

    state::cluster_state& state() { return m_state; }
    membership::membership_view& view() { return m_view; }

    std::shared_ptr<const state::cluster_state> make_state() const
    {
        return std::make_shared<const state::cluster_state>(m_state);
    }
    std::shared_ptr<const membership::membership_view> make_view() const
    {
        return std::make_shared<const membership::membership_view>(m_view);
    }

    static requests::route_query query(const std::string& request, const std::string& prefix = "")
    {
        return {.request = request_id(request),
                .service = service_id("s"),
                .prefix = prefix,
                .prompt_tokens = 4000};
    }

private:
    state::cluster_state m_state;
    membership::membership_view m_view;
};

} // namespace chivedeal::fakes

#endif
