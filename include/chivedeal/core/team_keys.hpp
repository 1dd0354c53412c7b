#ifndef CHIVEDEAL_CORE_TEAM_KEYS_HPP
#define CHIVEDEAL_CORE_TEAM_KEYS_HPP

#include "chivedeal/core/error.hpp"
#include "chivedeal/core/id.hpp"

#include <map>
#include <string>
#include <vector>

namespace chivedeal {

/// Keys of teams and what was wrong with their source.
struct team_keys
{
    std::map<team_id, std::string> keys;
    std::vector<error> faults;
};

/// Reads TEAM=KEY entries from CHIVEDEAL_TEAM_KEYS (comma-separated) and, unless `file` is empty,
/// from a file with one entry a line. Faults never repeat a key.
team_keys read_team_keys(const std::string& file);

} // namespace chivedeal

#endif
