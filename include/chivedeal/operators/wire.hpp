#ifndef CHIVEDEAL_OPERATORS_WIRE_HPP
#define CHIVEDEAL_OPERATORS_WIRE_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/core/result.hpp"

#include <string>
#include <vector>

namespace chivedeal::state {
struct declaration;
struct declaration_change;
struct record;
} // namespace chivedeal::state

namespace chivedeal::operators {

struct change_answer;

// JSON bodies of the operators' HTTP API. Decoders return `malformed_message` and never throw.

std::string encode_error(const error& value);
/// `io_error` with the text when the body is not an encoded error.
error decode_error(const std::string& body);

std::string encode_change(const change_id& change, const state::declaration_change& entry);
result<state::record> decode_change(const std::string& body);

std::string encode_change_answer(const change_answer& value);
result<change_answer> decode_change_answer(const std::string& body);

std::string encode_declarations(const std::vector<state::declaration>& values);
result<std::vector<state::declaration>> decode_declarations(const std::string& body);

} // namespace chivedeal::operators

#endif
