#ifndef CHIVEDEAL_OPERATORS_OPERATOR_ROUTES_HPP
#define CHIVEDEAL_OPERATORS_OPERATOR_ROUTES_HPP

#include "chivedeal/core/result.hpp"
#include "chivedeal/core/shared_cell.hpp"

#include <functional>
#include <string>

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

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
class operator_routes
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

    /// The routes must outlive the server.
    void install(httplib::Server& server) const;

private:
    void put_declaration(const httplib::Request& http, httplib::Response& response) const;
    void get_declarations(const httplib::Request& http, httplib::Response& response) const;
    void get_change(const httplib::Request& http, httplib::Response& response) const;
    void get_status(httplib::Response& response) const;
    void get_moves(httplib::Response& response) const;
    status check(const state::declaration_change& change, const state::record& entry) const;
    std::string answer_for(const state::record& entry, const error& effect) const;

    options m_options;
};

} // namespace chivedeal::operators

#endif
