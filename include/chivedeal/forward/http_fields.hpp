#ifndef CHIVEDEAL_FORWARD_HTTP_FIELDS_HPP
#define CHIVEDEAL_FORWARD_HTTP_FIELDS_HPP

#include "chivedeal/forward/http_field.hpp"
#include "chivedeal/forward/http_response_head.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace chivedeal::forward {

/// Returns the first value of a field, null when it is absent. Names ignore case.
const std::string* find_field(const std::vector<http_field>& fields, std::string_view name);

int count_field(const std::vector<http_field>& fields, std::string_view name);

/// Returns the fields without those that concern one connection only (RFC 9110, 7.6.1), the framing
/// and the names in `dropped`.
std::vector<http_field> end_to_end_fields(const std::vector<http_field>& fields,
                                          const std::vector<std::string>& dropped);

/// Appends "name: value" lines.
void append_fields(std::string& out, const std::vector<http_field>& fields);

/// Formats an answer's status line and fields; the caller adds its framing and the empty line.
std::string format_response_head(const http_response_head& head);

/// Formats a whole answer with its length.
std::string format_response(const http_response_head& head, std::string_view body, bool keep_alive,
                            bool to_head_request);

} // namespace chivedeal::forward

#endif
