#include "chivedeal/state/state_machine.hpp"

#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/state/declaration_path.hpp"
#include "chivedeal/state/signature.hpp"
#include "chivedeal/state/stream_name.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace chivedeal::state {

namespace {

error make_error(result_code code, std::string message)
{
    return {.code = code, .message = std::move(message)};
}

template<class Map, class Key>
auto find_or_null(const Map& map, const Key& key) -> typename Map::mapped_type
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

cluster_state::version_key key_of(const declaration_path& path)
{
    return {service_id(path.name), version_id(path.version)};
}

} // namespace

state_machine::state_machine(state_machine_options options)
    : m_options(std::move(options)),
      m_control_changes(m_options.control_changes),
      m_claims(m_options.claims),
      m_claims_changes(m_options.claims_changes)
{}

std::optional<error> state_machine::apply(const std::string& stream, const record& entry,
                                          std::uint64_t offset)
{
    if (offset <= applied_offset(stream))
        return std::nullopt;
    skip(stream, offset);
    // Chunks skip the duplicate check: the same chunk may be written again later, and chunks don't
    // change the state.
    if (std::holds_alternative<snapshot_chunk>(entry.body))
        return error{};
    change_id_history& applied_changes =
        stream == claims_stream ? m_claims_changes : m_control_changes;
    if (!applied_changes.add(entry.change))
        return std::nullopt;
    if (stream_of(entry.body) != stream)
        return make_error(result_code::malformed_message,
                          "the record type does not belong to this stream");
    return apply_body(entry, offset);
}

void state_machine::skip(const std::string& stream, std::uint64_t offset)
{
    if (offset <= applied_offset(stream))
        return;
    if (stream == claims_stream) {
        m_claims_offset = offset;
        // Expire before the record is applied, so that a key is free exactly at the window's end.
        m_claims.remove_expired(offset);
        return;
    }
    m_state.applied_offset = offset;
    m_published = nullptr;
}

std::uint64_t state_machine::applied_offset(const std::string& stream) const
{
    return stream == claims_stream ? m_claims_offset : m_state.applied_offset;
}

std::shared_ptr<const cluster_state> state_machine::publish()
{
    if (!m_published)
        m_published = std::make_shared<const cluster_state>(m_state);
    return m_published;
}

snapshot_data state_machine::export_snapshot()
{
    return {.control = publish(),
            .control_changes = m_control_changes.contents(),
            .claims_offset = m_claims_offset,
            .claims = m_claims.contents(),
            .claims_changes = m_claims_changes.contents()};
}

bool state_machine::adopt(const snapshot_data& snapshot)
{
    if (snapshot.control->applied_offset <= m_state.applied_offset)
        return false;
    m_state = *snapshot.control;
    m_published = snapshot.control;
    m_control_changes.restore(snapshot.control_changes);
    if (snapshot.claims_offset > m_claims_offset) {
        m_claims_offset = snapshot.claims_offset;
        m_claims.restore(snapshot.claims);
        m_claims_changes.restore(snapshot.claims_changes);
    }
    return true;
}

error state_machine::apply_body(const record& entry, std::uint64_t offset)
{
    if (const auto* change = std::get_if<declaration_change>(&entry.body))
        return apply_change(*change, entry.change, offset);
    if (const auto* grant = std::get_if<lease_grant>(&entry.body))
        return apply_grant(*grant, offset);
    if (const auto* step = std::get_if<move_step>(&entry.body))
        return apply_step(*step, offset);
    if (const auto* outcome = std::get_if<move_outcome>(&entry.body))
        return apply_outcome(*outcome, offset);
    if (const auto* verdict = std::get_if<version_verdict>(&entry.body))
        return apply_verdict(*verdict, offset);
    if (const auto* new_claim = std::get_if<claim>(&entry.body))
        return m_claims.apply(*new_claim, offset);
    if (const auto* release = std::get_if<claim_release>(&entry.body))
        return m_claims.apply(*release);
    return m_claims.apply(std::get<claim_result>(entry.body), offset);
}

error state_machine::apply_change(const declaration_change& change, const change_id& id,
                                  std::uint64_t offset)
{
    const auto path = parse_declaration_path(change.path);
    if (!is_ok(path))
        return get_error(path);
    if (error failure = check_change(change, id, get_value(path)); failure.code != result_code::ok)
        return failure;
    if (!change.body) {
        if (error failure = check_deletion(get_value(path)); failure.code != result_code::ok)
            return failure;
        m_state.declarations.erase(change.path);
        erase(get_value(path));
        return {};
    }
    auto parsed = parse_declaration(get_value(path), *change.body);
    if (!is_ok(parsed))
        return get_error(parsed);
    if (error failure = check_references(get_value(path), get_value(parsed));
        failure.code != result_code::ok)
        return failure;
    m_state.declarations[change.path] =
        std::make_shared<const declaration>(declaration{.path = change.path,
                                                        .team = change.team,
                                                        .version = offset,
                                                        .body = *change.body,
                                                        .change = id});
    declare(take_value(std::move(parsed)), offset);
    return {};
}

error state_machine::check_change(const declaration_change& change, const change_id& id,
                                  const declaration_path& path) const
{
    if (path.team != change.team)
        return make_error(
            result_code::wrong_team,
            absl::StrCat(change.path, " does not belong to team ", change.team.str()));
    if (is_enabled(mechanism::signature_check)) {
        const auto key = m_options.team_keys.find(change.team);
        if (key == m_options.team_keys.end() || !verify_change(change, id, key->second))
            return make_error(
                result_code::bad_signature,
                absl::StrCat("the signature does not match the key of team ", change.team.str()));
    }
    const auto existing = find_or_null(m_state.declarations, change.path);
    const std::uint64_t version = existing ? existing->version : 0;
    if (version != change.expected_version || (!existing && !change.body))
        return make_error(result_code::conflict,
                          absl::StrCat(change.path, " has version ", version, ", expected ",
                                       change.expected_version, "; read it again and retry"));
    return {};
}

error state_machine::check_references(const declaration_path& path,
                                      const parsed_declaration& value) const
{
    if (path.kind == declaration_kind::workspace) {
        const auto existing = find_or_null(m_state.workspaces, workspace_id(path.name));
        if (existing && existing->team != path.team)
            return make_error(result_code::wrong_team, "the workspace belongs to another team");
        return {};
    }
    const auto declared_service = find_or_null(m_state.services, service_id(path.name));
    if (declared_service && declared_service->team != path.team)
        return make_error(result_code::wrong_team, "the service belongs to another team");
    if (path.kind == declaration_kind::service)
        return {};
    if (!declared_service)
        return make_error(
            result_code::invalid_declaration,
            absl::StrCat("service \"", path.name, "\" is not declared; declare it first"));
    if (const auto* move = std::get_if<version_move>(&value))
        return check_move(*move);
    return {};
}

error state_machine::check_move(const version_move& move) const
{
    if (m_state.versions.count({move.service, move.to}) == 0)
        return make_error(result_code::invalid_declaration,
                          absl::StrCat("field \"version\" refers to the undeclared version \"",
                                       move.to.str(), "\""));
    if (is_bad(move.service, move.to))
        return make_error(result_code::conflict,
                          absl::StrCat("version ", move.to.str(),
                                       " was found bad; redeclare it before moving to it"));
    return {};
}

error state_machine::check_deletion(const declaration_path& path) const
{
    const service_id service(path.name);
    const auto first_version = m_state.versions.lower_bound({service, version_id()});
    const bool has_version =
        first_version != m_state.versions.end() && first_version->first.first == service;
    const bool has_move = m_state.declarations.count(
                              absl::StrCat("/teams/", path.team.str(), "/moves/", path.name)) != 0;
    if (path.kind == declaration_kind::service && (has_version || has_move))
        return make_error(result_code::conflict,
                          "the service still has moves or versions; delete them first");
    if (path.kind != declaration_kind::version)
        return {};
    const version_id version(path.version);
    const auto move = find_or_null(m_state.moves, service);
    if (move && move->status == move_status::open && (move->from == version || move->to == version))
        return make_error(
            result_code::conflict,
            "the version is part of an open move; wait for its end or delete the move");
    const auto current = m_state.current_versions.find(service);
    const bool is_only_version = std::next(first_version) == m_state.versions.end() ||
                                 std::next(first_version)->first.first != service;
    if (!is_only_version && current != m_state.current_versions.end() && current->second == version)
        return make_error(
            result_code::conflict,
            "the version serves the service's traffic; move to another version first");
    return {};
}

void state_machine::declare(parsed_declaration value, std::uint64_t offset)
{
    if (const auto* declared = std::get_if<service>(&value)) {
        m_state.services[declared->name] = std::make_shared<const service>(*declared);
        return;
    }
    if (const auto* declared = std::get_if<workspace>(&value)) {
        m_state.workspaces[declared->name] = std::make_shared<const workspace>(*declared);
        return;
    }
    if (auto* declared = std::get_if<endpoint_version>(&value)) {
        declared->declared_offset = offset;
        m_state.current_versions.try_emplace(declared->service, declared->name);
        m_state.versions[{declared->service, declared->name}] =
            std::make_shared<const endpoint_version>(*declared);
        return;
    }
    auto& move = std::get<version_move>(value);
    move.from = m_state.current_versions[move.service];
    move.declared_offset = offset;
    if (move.from == move.to) {
        move.status = move_status::done;
        move.share = 1;
        move.reason = "already the current version";
    }
    m_state.moves[move.service] = std::make_shared<const version_move>(move);
}

void state_machine::erase(const declaration_path& path)
{
    switch (path.kind) {
    case declaration_kind::service:
        m_state.services.erase(service_id(path.name));
        m_state.moves.erase(service_id(path.name));
        return;
    case declaration_kind::workspace:
        m_state.workspaces.erase(workspace_id(path.name));
        return;
    case declaration_kind::version:
        m_state.versions.erase(key_of(path));
        // Safe to drop: a new declaration of the same name gets a new offset, so old verdicts don't
        // apply to it.
        m_state.bad_versions.erase(key_of(path));
        if (const auto current = m_state.current_versions.find(service_id(path.name));
            current != m_state.current_versions.end() &&
            current->second == version_id(path.version))
            m_state.current_versions.erase(current);
        return;
    case declaration_kind::move:
        withdraw_move(service_id(path.name));
        return;
    }
}

// Keeps an open move as rolled back, so that clients waiting for it see its outcome.
void state_machine::withdraw_move(const service_id& service)
{
    const auto move = find_or_null(m_state.moves, service);
    if (!move || move->status != move_status::open) {
        m_state.moves.erase(service);
        return;
    }
    version_move withdrawn = *move;
    withdrawn.status = move_status::rolled_back;
    withdrawn.share = 0;
    withdrawn.reason = "withdrawn by its team";
    m_state.moves[service] = std::make_shared<const version_move>(std::move(withdrawn));
}

error state_machine::apply_grant(const lease_grant& grant, std::uint64_t offset)
{
    // A zero term releases the lease: another node can take it without waiting.
    if (grant.scope.empty() || grant.holder.empty() || grant.term < absl::ZeroDuration())
        return make_error(result_code::malformed_message,
                          "a lease grant needs a scope, a holder and a non-negative term");
    const auto existing = find_or_null(m_state.leases, grant.scope);
    const std::uint64_t newest_offset = existing ? existing->renewal : 0;
    if (newest_offset != grant.previous_offset)
        return make_error(result_code::conflict, absl::StrCat("the newest grant of ", grant.scope,
                                                              " has offset ", newest_offset));
    const bool renewal = existing && existing->holder == grant.holder;
    m_state.leases[grant.scope] =
        std::make_shared<const lease>(lease{.scope = grant.scope,
                                            .holder = grant.holder,
                                            .term = grant.term,
                                            .fence = renewal ? existing->fence : offset,
                                            .renewal = offset});
    return {};
}

error state_machine::apply_step(const move_step& step, std::uint64_t offset)
{
    const auto current_lease = find_or_null(m_state.leases, step.scope);
    if (!current_lease || current_lease->fence != step.lease_offset)
        return make_error(result_code::stale_fence,
                          absl::StrCat("the lease ", step.scope,
                                       " is not held under the fencing token of this step"));
    const auto move = open_move(step.service, step.version, step.move_offset);
    if (!move)
        return make_error(result_code::move_not_open,
                          "the service has no open move to this version");
    if (!(step.share >= 0 && step.share <= 1))
        return make_error(result_code::malformed_message, "the share must be a number from 0 to 1");
    if (step.share > move->share && is_bad(step.service, step.version))
        return make_error(result_code::conflict, "the version was found bad");
    version_move updated = *move;
    updated.share = step.share;
    updated.step_offset = offset;
    m_state.moves[step.service] = std::make_shared<const version_move>(updated);
    return {};
}

error state_machine::apply_outcome(const move_outcome& outcome, std::uint64_t offset)
{
    const auto move = open_move(outcome.service, outcome.version, outcome.move_offset);
    if (!move)
        return make_error(result_code::move_not_open,
                          "the service has no open move to this version");
    if (outcome.done && is_bad(outcome.service, outcome.version))
        return make_error(result_code::conflict, "the version was found bad");
    version_move updated = *move;
    updated.status = outcome.done ? move_status::done : move_status::rolled_back;
    updated.share = outcome.done ? 1 : 0;
    updated.reason = outcome.reason;
    updated.step_offset = offset;
    if (outcome.done)
        m_state.current_versions[outcome.service] = outcome.version;
    m_state.moves[outcome.service] = std::make_shared<const version_move>(updated);
    return {};
}

error state_machine::apply_verdict(const version_verdict& verdict, std::uint64_t offset)
{
    if (verdict.declared_offset >= offset)
        return make_error(result_code::malformed_message,
                          "the verdict refers to a declaration that comes after it");
    // Verdicts on deleted versions are dropped, so the map has at most one entry per declared
    // version.
    const auto declared = find_or_null(
        m_state.versions, cluster_state::version_key{verdict.service, verdict.version});
    if (!declared)
        return {};
    auto& bad_offset = m_state.bad_versions[{verdict.service, verdict.version}];
    bad_offset = std::max(bad_offset, verdict.declared_offset);
    return {};
}

std::shared_ptr<const version_move> state_machine::open_move(const service_id& service,
                                                             const version_id& version,
                                                             std::uint64_t move_offset) const
{
    auto move = find_or_null(m_state.moves, service);
    const bool is_named = move && move->status == move_status::open && move->to == version &&
                          (move_offset == 0 || move->declared_offset == move_offset);
    return is_named ? move : nullptr;
}

bool state_machine::is_bad(const service_id& service, const version_id& version) const
{
    const cluster_state::version_key key{service, version};
    const auto verdict = m_state.bad_versions.find(key);
    const auto declared = find_or_null(m_state.versions, key);
    return verdict != m_state.bad_versions.end() && declared &&
           verdict->second == declared->declared_offset;
}

} // namespace chivedeal::state
