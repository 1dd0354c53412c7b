#ifndef CHIVEDEAL_FORWARD_HTTP_FIELDS_HPP
#define CHIVEDEAL_FORWARD_HTTP_FIELDS_HPP

#include "chivedeal/forward/http_field.hpp"
#include "chivedeal/forward/http_response_head.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace chivedeal::forward {

/// Returns the first value of a field, or null if it is absent. Names are compared ignoring case.
const std::string* find_field(const std::vector<http_field>& fields, std::string_view name);

int count_field(const std::vector<http_field>& fields, std::string_view name);

/// Returns the fields without hop-by-hop fields (RFC 9110, section 7.6.1), framing fields and those
/// named in `dropped`.
std::vector<http_field> end_to_end_fields(const std::vector<http_field>& fields,
                                          const std::vector<std::string>& dropped);

/// Appends "name: value" lines.
void append_fields(std::string& out, const std::vector<http_field>& fields);

/// Formats a response's status line and fields, without framing fields and the final empty line.
std::string format_response_head(const http_response_head& head);

/// Formats a complete response. It has neither Content-Length nor body if its status is 204 or 304
/// or if it responds to a HEAD request.
std::string format_response(const http_response_head& head, std::string_view body, bool keep_alive,
                            bool to_head_request);

} // namespace chivedeal::forward

#endif
