#ifndef CHIVEDEAL_STATE_DECLARATION_HPP
#define CHIVEDEAL_STATE_DECLARATION_HPP

#include "chivedeal/core/id.hpp"

#include <cstdint>
#include <string>

namespace chivedeal::state {

/// Declaration at a path, as the operator wrote it.
struct declaration
{
    std::string path;
    team_id team;
    /// Log offset of the record that set it; operators pass it as `expected_version`.
    std::uint64_t version = 0;
    /// JSON object.
    std::string body;
    change_id change;

    friend bool operator==(const declaration&, const declaration&) = default;
};

} // namespace chivedeal::state

#endif
