#ifndef CHIVEDEAL_CORE_RESULT_CODE_HPP
#define CHIVEDEAL_CORE_RESULT_CODE_HPP

#include <string>
#include <vector>

namespace chivedeal {

/// Numbered results of operations; docs/result-codes.md lists them with what to do.
/// Numbers are stable: 1xx core, 2xx state, 3xx membership, 4xx control, 5xx requests, 6xx
/// operators.
enum class result_code : int
{
    ok = 0,

    invalid_setting = 101,
    timeout = 102,
    ring_full = 103,
    stopping = 104,
    malformed_message = 105,
    io_error = 106,

    invalid_path = 201,
    invalid_declaration = 202,
    conflict = 203,
    bad_signature = 204,
    wrong_team = 205,
    outcome_unknown = 206,
    log_unavailable = 207,
    log_truncated = 208,
    not_found = 209,
    not_ready = 210,
    snapshot_invalid = 211,

    peer_unreachable = 301,
    peer_refused = 302,

    stale_fence = 402,
    start_refused = 403,
    move_not_open = 404,

    invalid_request = 501,
    request_too_large = 502,
    unknown_service = 503,
    unknown_workspace = 504,
    rate_limited = 505,
    shed = 506,
    no_endpoint = 507,
    deadline_exceeded = 508,
    endpoint_not_started = 509,
    endpoint_failed = 510,
    endpoint_lost = 511,
    claim_lost = 512,
    claim_unavailable = 513,
    cancelled = 514,
    retry_budget_exhausted = 516,
    unknown_request = 517,
    unknown_route = 518,
    outside_home_regions = 520,
    zone_evacuated = 521,
    endpoints_cold = 522,

    usage = 601,
    node_unreachable = 602,
    declarations_differ = 603,
    move_rolled_back = 604,
};

/// Returns the code's name as the table spells it, `unknown_code` for a number not listed.
///
///     to_string(result_code::conflict); // "conflict"
std::string to_string(result_code code);

/// Returns all codes in ascending order, so that a test can compare them with the table.
const std::vector<result_code>& all_result_codes();

} // namespace chivedeal

#endif
