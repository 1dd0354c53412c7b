#ifndef CHIVEDEAL_STATE_CLUSTER_STATE_HPP
#define CHIVEDEAL_STATE_CLUSTER_STATE_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/state/claim_entry.hpp"
#include "chivedeal/state/declaration.hpp"
#include "chivedeal/state/endpoint_version.hpp"
#include "chivedeal/state/lease.hpp"
#include "chivedeal/state/service.hpp"
#include "chivedeal/state/version_move.hpp"
#include "chivedeal/state/workspace.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace chivedeal::state {

/// State built from the records of the log's `control` stream up to `applied_offset`; immutable
/// once published. Claims are not included, see `state_machine`.
struct cluster_state
{
    using version_key = std::pair<service_id, version_id>;

    std::uint64_t applied_offset = 0;
    std::map<std::string, std::shared_ptr<const declaration>> declarations;
    std::map<service_id, std::shared_ptr<const service>> services;
    std::map<workspace_id, std::shared_ptr<const workspace>> workspaces;
    std::map<version_key, std::shared_ptr<const endpoint_version>> versions;
    std::map<service_id, std::shared_ptr<const version_move>> moves;
    /// Version that serves a service's traffic when no move is open.
    std::map<service_id, version_id> current_versions;
    /// Versions with a bad verdict, with the offset of the declaration that it names.
    std::map<version_key, std::uint64_t> bad_versions;
    std::map<std::string, std::shared_ptr<const lease>> leases;
};

} // namespace chivedeal::state

#endif
