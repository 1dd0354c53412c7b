#ifndef CHIVEDEAL_REQUESTS_JSON_MERGE_HPP
#define CHIVEDEAL_REQUESTS_JSON_MERGE_HPP

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace chivedeal::requests {

/// Returns the text of a JSON object with `members` instead of its own members of these names, which
/// are left out. Doesn't build the values of the object, which can take 30 times the memory of the
/// text. An object that is malformed counts as empty.
std::string with_members(const std::string& object, const nlohmann::json& members);

} // namespace chivedeal::requests

#endif
