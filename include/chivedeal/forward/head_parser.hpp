#ifndef CHIVEDEAL_FORWARD_HEAD_PARSER_HPP
#define CHIVEDEAL_FORWARD_HEAD_PARSER_HPP

#include "chivedeal/core/result.hpp"
#include "chivedeal/forward/header_names.hpp"
#include "chivedeal/forward/http_request.hpp"
#include "chivedeal/forward/request_head.hpp"

#include <string>
#include <vector>

namespace chivedeal::forward {

/// Parses the header fields that routing and admission depend on.
/// Errors: `invalid_request` for a missing or repeated request identifier or a malformed field.
result<request_head> parse_request_head(const http_request& request, const header_names& names);

/// Parses "ID:TOKENS,ID:TOKENS"; the list ends before the first malformed entry.
std::vector<prompt_part> parse_prefix(const std::string& text);

} // namespace chivedeal::forward

#endif
