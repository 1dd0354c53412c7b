#include "chivedeal/state/record_codec.hpp"

#include "chivedeal/state/record.hpp"
#include "json_fields.hpp"

#include <nlohmann/json.hpp>

#include <utility>
#include <variant>

namespace chivedeal::state {

namespace {

using detail::encode_text;
using detail::json_fields;
using nlohmann::json;

// Exceeds the largest snapshot chunk and the largest result that a claim stores.
constexpr std::size_t max_record_bytes = 8 * 1024 * 1024;

struct encoder
{
    json operator()(const declaration_change& value) const
    {
        json out{{"type", "declaration_change"},
                 {"team", encode_text(value.team.str())},
                 {"path", encode_text(value.path)},
                 {"expected_version", value.expected_version},
                 {"signature", encode_text(value.signature)}};
        if (value.body)
            out["body"] = encode_text(*value.body);
        return out;
    }

    json operator()(const lease_grant& value) const
    {
        return {{"type", "lease_grant"},
                {"scope", encode_text(value.scope)},
                {"holder", encode_text(value.holder.str())},
                {"term_ms", absl::ToInt64Milliseconds(value.term)},
                {"previous_offset", value.previous_offset}};
    }

    json operator()(const move_step& value) const
    {
        return {{"type", "move_step"},
                {"service", encode_text(value.service.str())},
                {"version", encode_text(value.version.str())},
                {"share", value.share},
                {"scope", encode_text(value.scope)},
                {"lease_offset", value.lease_offset},
                {"move_offset", value.move_offset}};
    }

    json operator()(const move_outcome& value) const
    {
        return {{"type", "move_outcome"},
                {"service", encode_text(value.service.str())},
                {"version", encode_text(value.version.str())},
                {"done", value.done},
                {"reason", encode_text(value.reason)},
                {"move_offset", value.move_offset}};
    }

    json operator()(const version_verdict& value) const
    {
        return {{"type", "version_verdict"},
                {"service", encode_text(value.service.str())},
                {"version", encode_text(value.version.str())},
                {"declared_offset", value.declared_offset},
                {"reason", encode_text(value.reason)}};
    }

    json operator()(const claim& value) const
    {
        return {{"type", "claim"},
                {"key", encode_text(value.key)},
                {"node", encode_text(value.node.str())},
                {"attempt", value.attempt}};
    }

    json operator()(const claim_release& value) const
    {
        return {{"type", "claim_release"},
                {"key", encode_text(value.key)},
                {"node", encode_text(value.node.str())},
                {"attempt", value.attempt}};
    }

    json operator()(const claim_result& value) const
    {
        return {{"type", "claim_result"},
                {"key", encode_text(value.key)},
                {"node", encode_text(value.node.str())},
                {"outcome", encode_text(value.outcome)},
                {"body", encode_text(value.body)}};
    }

    json operator()(const snapshot_chunk& value) const
    {
        return {{"type", "snapshot_chunk"},
                {"covered_offset", value.covered_offset},
                {"index", value.index},
                {"count", value.count},
                {"data", encode_text(value.data)}};
    }
};

// Sets `known_type` to false if the type is unknown.
record_body decode_body(const std::string& type, json_fields& fields, bool& known_type)
{
    if (type == "declaration_change")
        return declaration_change{.team = team_id(fields.text("team")),
                                  .path = fields.text("path"),
                                  .expected_version = fields.offset("expected_version"),
                                  .body = fields.has("body")
                                              ? std::optional<std::string>(fields.text("body"))
                                              : std::nullopt,
                                  .signature = fields.text("signature")};
    if (type == "lease_grant")
        return lease_grant{.scope = fields.text("scope"),
                           .holder = node_id(fields.text("holder")),
                           .term = fields.milliseconds("term_ms"),
                           .previous_offset = fields.offset("previous_offset")};
    if (type == "move_step")
        return move_step{.service = service_id(fields.text("service")),
                         .version = version_id(fields.text("version")),
                         .share = fields.number("share"),
                         .scope = fields.text("scope"),
                         .lease_offset = fields.offset("lease_offset"),
                         .move_offset =
                             fields.has("move_offset") ? fields.offset("move_offset") : 0};
    if (type == "move_outcome")
        return move_outcome{.service = service_id(fields.text("service")),
                            .version = version_id(fields.text("version")),
                            .done = fields.flag("done"),
                            .reason = fields.text("reason"),
                            .move_offset =
                                fields.has("move_offset") ? fields.offset("move_offset") : 0};
    if (type == "version_verdict")
        return version_verdict{.service = service_id(fields.text("service")),
                               .version = version_id(fields.text("version")),
                               .declared_offset = fields.offset("declared_offset"),
                               .reason = fields.text("reason")};
    if (type == "claim")
        return claim{.key = fields.text("key"),
                     .node = node_id(fields.text("node")),
                     .attempt = fields.whole_number("attempt")};
    if (type == "claim_release")
        return claim_release{.key = fields.text("key"),
                             .node = node_id(fields.text("node")),
                             .attempt = fields.whole_number("attempt")};
    if (type == "claim_result")
        return claim_result{.key = fields.text("key"),
                            .node = node_id(fields.text("node")),
                            .outcome = fields.text("outcome"),
                            .body = fields.text("body")};
    if (type == "snapshot_chunk")
        return snapshot_chunk{.covered_offset = fields.offset("covered_offset"),
                              .index = fields.whole_number("index"),
                              .count = fields.whole_number("count"),
                              .data = fields.text("data")};
    known_type = false;
    return {};
}

error malformed(std::string reason)
{
    return {.code = result_code::malformed_message, .message = std::move(reason)};
}

} // namespace

std::string encode_record(const record& value)
{
    json out = std::visit(encoder{}, value.body);
    out["id"] = encode_text(value.change.str());
    return out.dump();
}

result<record> decode_record(const std::string& data)
{
    if (data.size() > max_record_bytes)
        return malformed("the record is larger than 8 MB");
    const json parsed = json::parse(data, nullptr, false);
    if (!parsed.is_object())
        return malformed("the record is not a JSON object");
    json_fields fields(parsed);
    bool known_type = true;
    const std::string type = fields.text("type");
    record decoded{.change = change_id(fields.text("id")),
                   .body = decode_body(type, fields, known_type)};
    if (!fields.invalid_field().empty())
        return malformed("field \"" + fields.invalid_field() +
                         "\" is missing or has the wrong type");
    if (!known_type)
        return malformed("unknown record type");
    if (decoded.change.empty())
        return malformed("field \"id\" is empty");
    return decoded;
}

} // namespace chivedeal::state
