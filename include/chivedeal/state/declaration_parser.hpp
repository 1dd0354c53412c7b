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

/// Parses the JSON body of a declaration. `invalid_declaration` names the field; unknown fields
/// are errors. What the path and the log add (`declared_offset`, a move's `from`) is left unset.
///
///     parse_declaration(path, R"({"kind": "engine", "latency_target_ms": 900})");
result<parsed_declaration> parse_declaration(const declaration_path& path, const std::string& body);

} // namespace chivedeal::state

#endif
