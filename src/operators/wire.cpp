#include "chivedeal/operators/wire.hpp"

#include "chivedeal/core/json_object.hpp"
#include "chivedeal/operators/change_answer.hpp"
#include "chivedeal/state/declaration.hpp"
#include "chivedeal/state/record.hpp"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace chivedeal::operators {

namespace {

using nlohmann::json;

error malformed(const char* what)
{
    return {.code = result_code::malformed_message, .message = what};
}

std::optional<json> parse_object(const std::string& text)
{
    json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object())
        return std::nullopt;
    return parsed;
}

// Reads a member into `out`; false when it is absent or of another type.
bool read(const json& object, const char* name, std::string& out)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string())
        return false;
    out = found->get<std::string>();
    return true;
}

bool read(const json& object, const char* name, std::uint64_t& out)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned())
        return false;
    out = found->get<std::uint64_t>();
    return true;
}

} // namespace

std::string encode_error(const error& value)
{
    return encode_json(json{{"code", static_cast<int>(value.code)},
                            {"name", to_string(value.code)},
                            {"error", value.message}});
}

error decode_error(const std::string& body)
{
    const auto object = parse_object(body);
    if (!object || !object->contains("code") || !(*object)["code"].is_number_integer())
        return {.code = result_code::io_error,
                .message = absl::StrCat("unexpected answer: ", body)};
    error value{.code = static_cast<result_code>((*object)["code"].get<int>()), .message = {}};
    read(*object, "error", value.message);
    return value;
}

std::string encode_change(const change_id& change, const state::declaration_change& entry)
{
    json object{{"change_id", change.str()},
                {"team", entry.team.str()},
                {"path", entry.path},
                {"expected_version", entry.expected_version},
                {"signature", entry.signature}};
    if (entry.body)
        object["body"] = *entry.body;
    return encode_json(object);
}

result<state::record> decode_change(const std::string& body)
{
    const auto object = parse_object(body);
    std::string change;
    std::string team;
    state::declaration_change entry;
    if (!object || !read(*object, "change_id", change) || change.empty() ||
        !read(*object, "team", team) || !read(*object, "path", entry.path) ||
        !read(*object, "expected_version", entry.expected_version) ||
        !read(*object, "signature", entry.signature))
        return malformed("a change needs change_id, team, path, expected_version and signature");
    entry.team = team_id(team);
    if (object->contains("body")) {
        std::string text;
        if (!read(*object, "body", text))
            return malformed("the body of a change is a string that holds a JSON object");
        entry.body = text;
    }
    return state::record{.change = change_id(change), .body = entry};
}

std::string encode_change_answer(const change_answer& value)
{
    return encode_json(json{{"change_id", value.change.str()},
                            {"code", static_cast<int>(value.effect.code)},
                            {"name", to_string(value.effect.code)},
                            {"error", value.effect.message},
                            {"version", value.version}});
}

result<change_answer> decode_change_answer(const std::string& body)
{
    const auto object = parse_object(body);
    std::string change;
    change_answer value;
    if (!object || !read(*object, "change_id", change) || !read(*object, "version", value.version))
        return malformed("not an answer to a change");
    value.change = change_id(change);
    value.effect = decode_error(body);
    return value;
}

std::string encode_declarations(const std::vector<state::declaration>& values)
{
    json list = json::array();
    for (const state::declaration& value : values)
        list.push_back({{"path", value.path},
                        {"team", value.team.str()},
                        {"version", value.version},
                        {"body", value.body},
                        {"change_id", value.change.str()}});
    return encode_json(json{{"declarations", list}});
}

result<std::vector<state::declaration>> decode_declarations(const std::string& body)
{
    const auto object = parse_object(body);
    if (!object || !object->contains("declarations") || !(*object)["declarations"].is_array())
        return malformed("not a list of declarations");
    std::vector<state::declaration> values;
    for (const json& entry : (*object)["declarations"]) {
        state::declaration value;
        std::string team;
        std::string change;
        if (!entry.is_object() || !read(entry, "path", value.path) || !read(entry, "team", team) ||
            !read(entry, "version", value.version) || !read(entry, "body", value.body) ||
            !read(entry, "change_id", change))
            return malformed("a declaration in the list is incomplete");
        value.team = team_id(team);
        value.change = change_id(change);
        values.push_back(std::move(value));
    }
    return values;
}

} // namespace chivedeal::operators
