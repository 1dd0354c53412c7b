#ifndef CHIVEDEAL_STATE_DECLARATION_PARSER_HPP
#define CHIVEDEAL_STATE_DECLARATION_PARSER_HPP

#include "chivedeal/core/result.hpp"
#include "chivedeal/state/endpoint_version.hpp"
#include "chivedeal/state/service.hpp"
#include "chivedeal/state/version_move.hpp"
#include "chivedeal/state/workspace.hpp"

#include <string>
#include <variant>

namespace chivedeal::state {

struct declaration_path;

using parsed_declaration = std::variant<service, workspace, endpoint_version, version_move>;

/// Parses the JSON body of a declaration. Returns `invalid_declaration` with the field name on
/// error; unknown fields are errors. Fields that the path and the log provide (`declared_offset`,
/// a move's `from`) are left unset.
///
///     parse_declaration(path, R"({"kind": "engine", "latency_target_ms": 900})");
result<parsed_declaration> parse_declaration(const declaration_path& path, const std::string& body);

} // namespace chivedeal::state

#endif
