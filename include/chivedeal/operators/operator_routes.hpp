#ifndef CHIVEDEAL_OPERATORS_OPERATOR_ROUTES_HPP
#define CHIVEDEAL_OPERATORS_OPERATOR_ROUTES_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/core/result.hpp"
#include "chivedeal/core/shared_cell.hpp"
#include "chivedeal/requests/route_handler.hpp"

#include <functional>
#include <optional>
#include <string>

namespace chivedeal {
class metrics;
struct settings;
} // namespace chivedeal

namespace chivedeal::membership {
struct membership_view;
}

namespace chivedeal::state {
class change_tracker;
class published_state;
class record_sink;
struct declaration_change;
struct record;
} // namespace chivedeal::state

namespace chivedeal::operators {

/// The operators' HTTP API and the metrics, on the listener that callers use.
class operator_routes : public requests::route_handler
{
public:
    struct options
    {
        const settings& config;
        const state::published_state& published;
        const shared_cell<membership::membership_view>& view;
        state::record_sink& records;
        state::change_tracker& changes;
        const metrics& counters;
        std::function<void()> request_drain;
    };

    explicit operator_routes(options wiring);

    std::optional<requests::route_reply> handle(const requests::route_call& call) const override;

private:
    requests::route_reply put_declaration(const std::string& body) const;
    requests::route_reply get_declarations(const std::string& prefix) const;
    requests::route_reply get_change(const change_id& change) const;
    requests::route_reply get_status() const;
    requests::route_reply get_moves() const;
    requests::route_reply drain() const;
    status check(const state::declaration_change& change, const state::record& entry) const;
    std::string answer_for(const state::record& entry, const error& effect) const;

    options m_options;
};

} // namespace chivedeal::operators

#endif
