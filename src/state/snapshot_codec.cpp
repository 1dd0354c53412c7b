#include "chivedeal/state/snapshot_codec.hpp"

#include "chivedeal/state/cluster_state.hpp"
#include "chivedeal/state/declaration_parser.hpp"
#include "chivedeal/state/declaration_path.hpp"
#include "chivedeal/state/snapshot_data.hpp"
#include "json_fields.hpp"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include <nlohmann/json.hpp>

#include <cstring>
#include <utility>
#include <variant>

namespace chivedeal::state {

namespace {

using detail::encode_text;
using detail::json_fields;
using nlohmann::json;

constexpr int format_version = 1;
constexpr std::size_t change_hash_bytes = 16;
constexpr const char* const status_names[] = {"open", "done", "rolled_back"};

// Hashes make up most of a snapshot; base64 takes half the space of a list of numbers.
json encode_changes(const std::vector<remembered_change>& changes)
{
    std::string bytes;
    bytes.reserve(changes.size() * change_hash_bytes);
    for (const remembered_change& change : changes)
        for (const std::uint64_t half : change.hash)
            for (int shift = 56; shift >= 0; shift -= 8)
                bytes.push_back(static_cast<char>((half >> shift) & 0xffU));
    return absl::Base64Escape(bytes);
}

json encode_move(const version_move& move)
{
    return {{"service", encode_text(move.service.str())},
            {"from", encode_text(move.from.str())},
            {"share", move.share},
            {"status", status_names[static_cast<int>(move.status)]},
            {"reason", encode_text(move.reason)},
            {"step_offset", move.step_offset}};
}

json encode_claim(const stored_claim& stored)
{
    json out{{"key", encode_text(stored.entry.key)},
             {"node", encode_text(stored.entry.node.str())},
             {"attempt", stored.entry.attempt},
             {"offset", stored.entry.offset},
             {"result_offset", stored.result_offset}};
    if (stored.entry.finished) {
        out["outcome"] = encode_text(stored.entry.outcome);
        out["body"] = encode_text(stored.entry.body);
    }
    return out;
}

// Decodes a snapshot and records the first error.
class snapshot_decoder
{
public:
    explicit snapshot_decoder(const json& object) : m_object(object) {}

    result<snapshot_data> decode()
    {
        json_fields fields(m_object);
        if (fields.whole_number("format") != format_version)
            fail("unknown format");
        m_state.applied_offset = fields.offset("control_offset");
        snapshot_data data;
        data.claims_offset = fields.offset("claims_offset");
        check(fields, "snapshot");
        decode_declarations();
        decode_moves();
        decode_current_versions();
        decode_bad_versions();
        decode_leases();
        data.claims = decode_claims();
        data.control_changes = decode_changes("control_changes");
        data.claims_changes = decode_changes("claims_changes");
        if (!m_error.empty())
            return error{.code = result_code::snapshot_invalid, .message = m_error};
        data.control = std::make_shared<const cluster_state>(std::move(m_state));
        return data;
    }

private:
    void fail(std::string reason)
    {
        if (m_error.empty())
            m_error = std::move(reason);
    }

    void check(const json_fields& fields, const char* where)
    {
        if (!fields.invalid_field().empty())
            fail(absl::StrCat(where, ": field \"", fields.invalid_field(),
                              "\" is missing or wrong"));
    }

    const json& list(const char* name)
    {
        static const json empty_list = json::array();
        const auto found = m_object.find(name);
        if (found != m_object.end() && found->is_array())
            return *found;
        fail(absl::StrCat("\"", name, "\" is not a list"));
        return empty_list;
    }

    void decode_declarations()
    {
        for (const json& entry : list("declarations")) {
            json_fields fields(entry);
            const declaration value{.path = fields.text("path"),
                                    .team = team_id(fields.text("team")),
                                    .version = fields.offset("version"),
                                    .body = fields.text("body"),
                                    .change = change_id(fields.text("change"))};
            check(fields, "declaration");
            const auto path = parse_declaration_path(value.path);
            if (!is_ok(path))
                return fail(get_error(path).message);
            auto parsed = parse_declaration(get_value(path), value.body);
            if (!is_ok(parsed))
                return fail(absl::StrCat(value.path, ": ", get_error(parsed).message));
            m_state.declarations[value.path] = std::make_shared<const declaration>(value);
            insert(get_value(parsed), value.version);
        }
    }

    void insert(const parsed_declaration& parsed, std::uint64_t version)
    {
        if (const auto* found = std::get_if<service>(&parsed))
            m_state.services[found->name] = std::make_shared<const service>(*found);
        else if (const auto* found = std::get_if<workspace>(&parsed))
            m_state.workspaces[found->name] = std::make_shared<const workspace>(*found);
        else if (const auto* found = std::get_if<endpoint_version>(&parsed)) {
            endpoint_version value = *found;
            value.declared_offset = version;
            m_state.versions[{value.service, value.name}] =
                std::make_shared<const endpoint_version>(value);
        }
        else {
            version_move value = std::get<version_move>(parsed);
            value.declared_offset = version;
            m_state.moves[value.service] = std::make_shared<const version_move>(value);
        }
    }

    void decode_moves()
    {
        for (const json& entry : list("moves")) {
            json_fields fields(entry);
            const auto found = m_state.moves.find(service_id(fields.text("service")));
            if (found == m_state.moves.end())
                return fail("a move has no declaration");
            version_move value = *found->second;
            value.from = version_id(fields.text("from"));
            value.share = fields.number("share");
            value.reason = fields.text("reason");
            value.step_offset = fields.offset("step_offset");
            const std::string status = fields.text("status");
            if (status == status_names[1])
                value.status = move_status::done;
            else if (status == status_names[2])
                value.status = move_status::rolled_back;
            else if (status != status_names[0])
                fail("a move has an unknown status");
            check(fields, "move");
            found->second = std::make_shared<const version_move>(value);
        }
    }

    void decode_current_versions()
    {
        for (const json& entry : list("current_versions")) {
            json_fields fields(entry);
            m_state.current_versions[service_id(fields.text("service"))] =
                version_id(fields.text("version"));
            check(fields, "current version");
        }
    }

    void decode_bad_versions()
    {
        for (const json& entry : list("bad_versions")) {
            json_fields fields(entry);
            m_state.bad_versions[{service_id(fields.text("service")),
                                  version_id(fields.text("version"))}] =
                fields.offset("declared_offset");
            check(fields, "bad version");
        }
    }

    void decode_leases()
    {
        for (const json& entry : list("leases")) {
            json_fields fields(entry);
            const lease value{.scope = fields.text("scope"),
                              .holder = node_id(fields.text("holder")),
                              .term = fields.milliseconds("term_ms"),
                              .fence = fields.offset("fence"),
                              .renewal = fields.offset("renewal")};
            check(fields, "lease");
            m_state.leases[value.scope] = std::make_shared<const lease>(value);
        }
    }

    std::vector<stored_claim> decode_claims()
    {
        std::vector<stored_claim> claims;
        for (const json& entry : list("claims")) {
            json_fields fields(entry);
            stored_claim value{.entry = {.key = fields.text("key"),
                                         .node = node_id(fields.text("node")),
                                         .attempt = fields.whole_number("attempt"),
                                         .offset = fields.offset("offset"),
                                         .finished = fields.has("outcome"),
                                         .outcome = {},
                                         .body = {}},
                               .result_offset = fields.offset("result_offset")};
            if (value.entry.finished) {
                value.entry.outcome = fields.text("outcome");
                value.entry.body = fields.text("body");
            }
            check(fields, "claim");
            claims.push_back(std::move(value));
        }
        return claims;
    }

    std::vector<remembered_change> decode_changes(const char* name)
    {
        json_fields fields(m_object);
        const std::string text = fields.text(name);
        std::string bytes;
        std::vector<remembered_change> changes;
        if (!absl::Base64Unescape(text, &bytes) || bytes.size() % change_hash_bytes != 0) {
            fail(absl::StrCat("\"", name, "\" is not a list of hashes"));
            return changes;
        }
        changes.resize(bytes.size() / change_hash_bytes);
        for (std::size_t at = 0; at < bytes.size(); ++at) {
            std::uint64_t& half = changes[at / change_hash_bytes].hash[at % change_hash_bytes / 8];
            half = (half << 8U) | static_cast<unsigned char>(bytes[at]);
        }
        return changes;
    }

    const json& m_object;
    cluster_state m_state;
    std::string m_error;
};

} // namespace

std::string encode_snapshot(const snapshot_data& snapshot)
{
    const cluster_state& state = *snapshot.control;
    json out{{"format", format_version},
             {"control_offset", state.applied_offset},
             {"claims_offset", snapshot.claims_offset},
             {"control_changes", encode_changes(snapshot.control_changes)},
             {"claims_changes", encode_changes(snapshot.claims_changes)}};
    for (const char* name :
         {"declarations", "moves", "current_versions", "bad_versions", "leases", "claims"})
        out[name] = json::array();
    for (const auto& [path, value] : state.declarations)
        out["declarations"].push_back({{"path", path},
                                       {"team", value->team.str()},
                                       {"version", value->version},
                                       {"body", encode_text(value->body)},
                                       {"change", encode_text(value->change.str())}});
    for (const auto& [service, move] : state.moves)
        out["moves"].push_back(encode_move(*move));
    for (const auto& [service, version] : state.current_versions)
        out["current_versions"].push_back({{"service", service.str()}, {"version", version.str()}});
    for (const auto& [key, offset] : state.bad_versions)
        out["bad_versions"].push_back({{"service", key.first.str()},
                                       {"version", key.second.str()},
                                       {"declared_offset", offset}});
    for (const auto& [scope, value] : state.leases)
        out["leases"].push_back({{"scope", encode_text(scope)},
                                 {"holder", encode_text(value->holder.str())},
                                 {"term_ms", absl::ToInt64Milliseconds(value->term)},
                                 {"fence", value->fence},
                                 {"renewal", value->renewal}});
    for (const stored_claim& stored : snapshot.claims)
        out["claims"].push_back(encode_claim(stored));
    return out.dump();
}

result<snapshot_data> decode_snapshot(const std::string& data)
{
    const json parsed = json::parse(data, nullptr, false);
    if (!parsed.is_object())
        return error{.code = result_code::snapshot_invalid,
                     .message = "the snapshot is not a JSON object"};
    return snapshot_decoder(parsed).decode();
}

} // namespace chivedeal::state
