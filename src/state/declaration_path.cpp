#include "chivedeal/state/declaration_path.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <string>
#include <vector>

namespace chivedeal::state {

namespace {

constexpr std::size_t max_name_length = 64;

bool is_name_start(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); }

bool is_name(absl::string_view text)
{
    return !text.empty() && text.size() <= max_name_length && is_name_start(text.front()) &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return is_name_start(c) || c == '.' || c == '_' || c == '-'; });
}

error bad_path(absl::string_view path, absl::string_view reason)
{
    return {.code = result_code::invalid_path, .message = absl::StrCat(path, ": ", reason)};
}

} // namespace

result<declaration_path> parse_declaration_path(absl::string_view path)
{
    const std::vector<absl::string_view> parts = absl::StrSplit(path, '/');
    if (parts.size() < 5 || !parts[0].empty() || parts[1] != "teams")
        return bad_path(path, "must begin with /teams/TEAM/KIND/NAME");
    declaration_path parsed{
        .team = team_id(std::string(parts[2])), .name = std::string(parts[4]), .version = {}};
    if (parts[3] == "services")
        parsed.kind = declaration_kind::service;
    else if (parts[3] == "workspaces")
        parsed.kind = declaration_kind::workspace;
    else if (parts[3] == "versions")
        parsed.kind = declaration_kind::version;
    else if (parts[3] == "moves")
        parsed.kind = declaration_kind::move;
    else
        return bad_path(path, "the kind must be services, workspaces, versions or moves");
    const bool is_version = parsed.kind == declaration_kind::version;
    if (parts.size() != (is_version ? 6 : 5))
        return bad_path(path, is_version ? "must be /teams/TEAM/versions/SERVICE/VERSION"
                                         : "has too many parts");
    if (is_version)
        parsed.version = std::string(parts[5]);
    if (!is_name(parsed.team.str()) || !is_name(parsed.name) ||
        (is_version && !is_name(parsed.version)))
        return bad_path(path, "names have 1 to 64 characters of a-z, 0-9, '.', '_' and '-' and "
                              "begin with a letter or digit");
    return parsed;
}

} // namespace chivedeal::state
