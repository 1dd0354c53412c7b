#ifndef CHIVEDEAL_STATE_DECLARATION_PATH_HPP
#define CHIVEDEAL_STATE_DECLARATION_PATH_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/core/result.hpp"

#include "absl/strings/string_view.h"

#include <string>

namespace chivedeal::state {

enum class declaration_kind
{
    service,
    workspace,
    version,
    move,
};

/// Validated path of a declaration.
struct declaration_path
{
    declaration_kind kind = declaration_kind::service;
    team_id team;
    /// Name of the service or workspace.
    std::string name;
    /// Name of the version; empty for the other kinds.
    std::string version;

    friend bool operator==(const declaration_path&, const declaration_path&) = default;
};

/// Parses a path; returns `invalid_path` if it is malformed. Names have 1 to 64 characters of a-z,
/// 0-9, `.`, `_` and `-` and begin with a letter or digit.
///
///     parse_declaration_path("/teams/books/services/booking");
result<declaration_path> parse_declaration_path(absl::string_view path);

} // namespace chivedeal::state

#endif
