#ifndef CHIVEDEAL_STATE_RECORD_HPP
#define CHIVEDEAL_STATE_RECORD_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace chivedeal::state {

/// Sets or deletes the declaration at a path.
struct declaration_change
{
    team_id team;
    std::string path;
    /// Version that the operator last read; 0 if there was no declaration.
    std::uint64_t expected_version = 0;
    /// JSON object; if absent, the declaration is deleted.
    std::optional<std::string> body;
    /// Hexadecimal HMAC-SHA256 with the team's key.
    std::string signature;

    friend bool operator==(const declaration_change&, const declaration_change&) = default;
};

/// Grants, renews or takes over a lease.
struct lease_grant
{
    std::string scope;
    node_id holder;
    absl::Duration term;
    /// Offset of the newest grant or renewal that the holder has read; 0 if none.
    std::uint64_t previous_offset = 0;

    friend bool operator==(const lease_grant&, const lease_grant&) = default;
};

/// Changes the traffic share of a version during a move.
struct move_step
{
    service_id service;
    version_id version;
    double share = 0;
    std::string scope;
    /// Fencing token of the lease under which the step was decided.
    std::uint64_t lease_offset = 0;
    /// Offset of the move's declaration; 0 in records of earlier versions, which act on any move to
    /// the version.
    std::uint64_t move_offset = 0;

    friend bool operator==(const move_step&, const move_step&) = default;
};

/// Ends a move.
struct move_outcome
{
    service_id service;
    version_id version;
    bool done = false;
    std::string reason;
    /// Offset of the move's declaration; 0 in records of earlier versions.
    std::uint64_t move_offset = 0;

    friend bool operator==(const move_outcome&, const move_outcome&) = default;
};

/// Marks a version as bad.
struct version_verdict
{
    service_id service;
    version_id version;
    std::uint64_t declared_offset = 0;
    std::string reason;

    friend bool operator==(const version_verdict&, const version_verdict&) = default;
};

/// Claims an idempotency key for one node.
struct claim
{
    std::string key;
    node_id node;
    int attempt = 0;

    friend bool operator==(const claim&, const claim&) = default;
};

/// Releases a claim whose request was not run.
struct claim_release
{
    std::string key;
    node_id node;
    int attempt = 0;

    friend bool operator==(const claim_release&, const claim_release&) = default;
};

/// Result of the request that ran under a claim.
struct claim_result
{
    std::string key;
    node_id node;
    std::string outcome;
    std::string body;

    friend bool operator==(const claim_result&, const claim_result&) = default;
};

/// One part of a snapshot of the state at `covered_offset`.
struct snapshot_chunk
{
    std::uint64_t covered_offset = 0;
    int index = 0;
    int count = 0;
    std::string data;

    friend bool operator==(const snapshot_chunk&, const snapshot_chunk&) = default;
};

using record_body =
    std::variant<declaration_change, lease_grant, move_step, move_outcome, version_verdict, claim,
                 claim_release, claim_result, snapshot_chunk>;

/// Entry of the platform's log. A record that is appended twice takes effect only once.
struct record
{
    change_id change;
    record_body body;

    friend bool operator==(const record&, const record&) = default;
};

} // namespace chivedeal::state

#endif
