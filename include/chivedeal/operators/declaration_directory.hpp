#ifndef CHIVEDEAL_OPERATORS_DECLARATION_DIRECTORY_HPP
#define CHIVEDEAL_OPERATORS_DECLARATION_DIRECTORY_HPP

#include "chivedeal/core/result.hpp"

#include <string>
#include <vector>

namespace chivedeal::operators {

struct declared_file;

/// Reads DIR/teams/TEAM/KIND/NAME.json as declarations at /teams/TEAM/KIND/NAME.
///
/// Every fault is reported, each with its file: unreadable files, malformed JSON and fields that
/// the declaration's check refuses.
///
///     auto files = read_declarations("declarations");
std::variant<std::vector<declared_file>, std::vector<error>>
read_declarations(const std::string& directory);

} // namespace chivedeal::operators

#endif
