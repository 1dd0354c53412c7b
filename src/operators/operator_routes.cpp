#include "chivedeal/operators/operator_routes.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/core/metrics.hpp"
#include "chivedeal/core/settings.hpp"
#include "chivedeal/membership/bad_version.hpp"
#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/operators/change_answer.hpp"
#include "chivedeal/operators/wire.hpp"
#include "chivedeal/state/change_tracker.hpp"
#include "chivedeal/state/cluster_state.hpp"
#include "chivedeal/state/declaration_parser.hpp"
#include "chivedeal/state/declaration_path.hpp"
#include "chivedeal/state/published_state.hpp"
#include "chivedeal/state/record.hpp"
#include "chivedeal/state/record_sink.hpp"
#include "chivedeal/state/signature.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace chivedeal::operators {

namespace {

using nlohmann::json;
using requests::route_call;
using requests::route_reply;

constexpr const char* change_path = "/v1/changes/";

int http_status_of(result_code code)
{
    switch (code) {
    case result_code::ok:
        return 200;
    case result_code::conflict:
        return 409;
    case result_code::bad_signature:
    case result_code::wrong_team:
        return 403;
    case result_code::not_found:
        return 404;
    case result_code::outcome_unknown:
        return 504;
    case result_code::not_ready:
    case result_code::ring_full:
    case result_code::stopping:
        return 503;
    default:
        return 400;
    }
}

route_reply refuse(const error& reason)
{
    log_event(event_id::operator_request_rejected,
              {{"code", absl::StrCat(static_cast<int>(reason.code))}, {"reason", reason.message}});
    return {.status = http_status_of(reason.code), .body = encode_error(reason)};
}

const char* name_of(membership::node_status value)
{
    switch (value) {
    case membership::node_status::alive:
        return "alive";
    case membership::node_status::suspect:
        return "suspect";
    case membership::node_status::dead:
        return "dead";
    case membership::node_status::leaving:
        return "leaving";
    }
    return "";
}

const char* name_of(state::move_status value)
{
    switch (value) {
    case state::move_status::open:
        return "open";
    case state::move_status::done:
        return "done";
    case state::move_status::rolled_back:
        return "rolled_back";
    }
    return "";
}

json nodes_of(const membership::membership_view& view)
{
    json nodes = json::array();
    for (const membership::node_record& node : view.nodes)
        nodes.push_back({{"node", node.id.str()},
                         {"region", node.region.str()},
                         {"zone", node.zone.str()},
                         {"address", to_string(node.http)},
                         {"status", name_of(node.status)},
                         {"ready", node.ready},
                         {"applied_offset", node.applied_offset}});
    return nodes;
}

json endpoints_of(const membership::membership_view& view)
{
    json endpoints = json::array();
    for (const membership::endpoint& one : view.endpoints)
        endpoints.push_back(
            {{"endpoint", one.id.str()},
             {"service", one.service.str()},
             {"version", one.version.str()},
             {"region", one.region.str()},
             {"zone", one.zone.str()},
             {"status", one.status == membership::endpoint_status::live ? "live" : "leaving"}});
    return endpoints;
}

json versions_of(const state::cluster_state& state, const membership::membership_view& view)
{
    json versions = json::array();
    for (const auto& [key, version] : state.versions) {
        const auto current = state.current_versions.find(version->service);
        versions.push_back({{"service", version->service.str()},
                            {"version", version->name.str()},
                            {"current", current != state.current_versions.end() &&
                                            current->second == version->name},
                            {"bad", membership::is_found_bad(state, view, *version)}});
    }
    return versions;
}

json leases_of(const state::cluster_state& state)
{
    json leases = json::array();
    for (const auto& [scope, lease] : state.leases)
        leases.push_back(
            {{"scope", scope}, {"holder", lease->holder.str()}, {"fence", lease->fence}});
    return leases;
}

} // namespace

operator_routes::operator_routes(options wiring) : m_options(std::move(wiring)) {}

std::optional<route_reply> operator_routes::handle(const route_call& call) const
{
    const auto is = [&call](const char* method, const char* path) {
        return call.method == method && call.path == path;
    };
    if (is("PUT", "/v1/declarations"))
        return put_declaration(call.body);
    if (is("GET", "/v1/declarations")) {
        const auto prefix = call.parameters.find("prefix");
        return get_declarations(prefix == call.parameters.end() ? "/" : prefix->second);
    }
    if (call.method == "GET" && absl::StartsWith(call.path, change_path)) {
        const std::string change = call.path.substr(std::string(change_path).size());
        if (!change.empty() && !absl::StrContains(change, '/'))
            return get_change(change_id(change));
    }
    if (is("GET", "/v1/status"))
        return get_status();
    if (is("GET", "/v1/moves"))
        return get_moves();
    if (is("POST", "/v1/drain"))
        return drain();
    if (is("GET", "/metrics"))
        return route_reply{.content_type = "text/plain; version=0.0.4",
                           .body = m_options.counters.expose()};
    return std::nullopt;
}

// Refuses what the replay would refuse, so that the operator need not wait for the log. The
// replay decides all the same.
status operator_routes::check(const state::declaration_change& change,
                              const state::record& entry) const
{
    const auto path = state::parse_declaration_path(change.path);
    if (!is_ok(path))
        return get_error(path);
    if (get_value(path).team != change.team)
        return error{.code = result_code::wrong_team,
                     .message = absl::StrCat(change.path, " is not in the subtree of team '",
                                             change.team.str(), "'")};
    if (change.body) {
        const auto parsed = state::parse_declaration(get_value(path), *change.body);
        if (!is_ok(parsed))
            return get_error(parsed);
    }
    const auto key = m_options.config.team_keys.find(change.team);
    const bool signed_by_team = key != m_options.config.team_keys.end() &&
                                state::verify_change(change, entry.change, key->second);
    if (!signed_by_team && is_enabled(mechanism::signature_check))
        return error{.code = result_code::bad_signature,
                     .message = "the key does not fit team '" + change.team.str() + "'"};
    if (!m_options.published.ready())
        return error{.code = result_code::not_ready, .message = "the node has no state yet"};
    return ok_status();
}

std::string operator_routes::answer_for(const state::record& entry, const error& effect) const
{
    const auto state = m_options.published.state();
    const auto* change = std::get_if<state::declaration_change>(&entry.body);
    std::uint64_t version = 0;
    if (change != nullptr)
        if (const auto found = state->declarations.find(change->path);
            found != state->declarations.end() && found->second->change == entry.change)
            version = found->second->version;
    return encode_change_answer({.change = entry.change, .effect = effect, .version = version});
}

route_reply operator_routes::put_declaration(const std::string& body) const
{
    const auto decoded = decode_change(body);
    if (!is_ok(decoded))
        return refuse(get_error(decoded));
    const state::record& entry = get_value(decoded);
    const auto& change = std::get<state::declaration_change>(entry.body);
    if (const status checked = check(change, entry); !is_ok(checked))
        return refuse(get_error(checked));
    if (const status taken = m_options.records.append(entry); !is_ok(taken))
        return refuse(get_error(taken));
    const error effect = m_options.changes.wait(entry.change, m_options.config.proposal_timeout);
    if (effect.code != result_code::ok)
        return refuse(effect);
    return {.body = answer_for(entry, effect)};
}

route_reply operator_routes::get_declarations(const std::string& prefix) const
{
    if (!m_options.published.ready())
        return refuse({.code = result_code::not_ready, .message = "the node has no state yet"});
    const auto state = m_options.published.state();
    std::vector<state::declaration> found;
    for (auto next = state->declarations.lower_bound(prefix);
         next != state->declarations.end() && absl::StartsWith(next->first, prefix); ++next)
        found.push_back(*next->second);
    return {.body = encode_declarations(found)};
}

route_reply operator_routes::get_change(const change_id& change) const
{
    const auto effect = m_options.changes.find(change);
    if (!effect)
        return refuse({.code = result_code::not_found,
                       .message = "this node has not applied change " + change.str() +
                                  "; it may still come, so ask again"});
    const auto state = m_options.published.state();
    std::uint64_t version = 0;
    for (const auto& [path, one] : state->declarations)
        if (one->change == change)
            version = one->version;
    return {.body =
                encode_change_answer({.change = change, .effect = *effect, .version = version})};
}

route_reply operator_routes::get_status() const
{
    const auto state = m_options.published.state();
    const auto view = m_options.view.load();
    return {.body = json{{"node", m_options.config.node.str()},
                         {"ready", m_options.published.ready()},
                         {"applied_offset", state->applied_offset},
                         {"open_requests", m_options.counters.value("chivedeal_open_requests")},
                         {"nodes", nodes_of(*view)},
                         {"endpoints", endpoints_of(*view)},
                         {"versions", versions_of(*state, *view)},
                         {"leases", leases_of(*state)}}
                        .dump()};
}

route_reply operator_routes::get_moves() const
{
    const auto state = m_options.published.state();
    json moves = json::array();
    for (const auto& [service, move] : state->moves)
        moves.push_back({{"service", service.str()},
                         {"from", move->from.str()},
                         {"to", move->to.str()},
                         {"share", move->share},
                         {"status", name_of(move->status)},
                         {"reason", move->reason},
                         {"deadline", absl::FormatTime(absl::RFC3339_sec, move->deadline,
                                                       absl::UTCTimeZone())}});
    return {.body = json{{"moves", moves}}.dump()};
}

route_reply operator_routes::drain() const
{
    m_options.request_drain();
    return {.body = R"({"draining": true})"};
}

} // namespace chivedeal::operators
