#ifndef CHIVEDEAL_STATE_ENDPOINT_VERSION_HPP
#define CHIVEDEAL_STATE_ENDPOINT_VERSION_HPP

#include "chivedeal/core/id.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chivedeal::state {

/// Declaration at /teams/TEAM/versions/SERVICE/VERSION.
struct endpoint_version
{
    service_id service;
    version_id name;
    team_id team;
    std::string model;
    std::string adapter;
    /// Instance classes that can run the version; empty allows any.
    std::vector<std::string> classes;
    std::uint64_t weights_bytes = 0;
    /// Log offset of the declaration, by which evidence and verdicts refer to it.
    std::uint64_t declared_offset = 0;

    friend bool operator==(const endpoint_version&, const endpoint_version&) = default;
};

} // namespace chivedeal::state

#endif
