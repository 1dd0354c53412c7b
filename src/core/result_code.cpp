#include "chivedeal/core/result_code.hpp"

namespace chivedeal {

std::string to_string(result_code code)
{
    switch (code) {
    case result_code::ok:
        return "ok";
    case result_code::invalid_setting:
        return "invalid_setting";
    case result_code::timeout:
        return "timeout";
    case result_code::ring_full:
        return "ring_full";
    case result_code::stopping:
        return "stopping";
    case result_code::malformed_message:
        return "malformed_message";
    case result_code::io_error:
        return "io_error";
    case result_code::invalid_path:
        return "invalid_path";
    case result_code::invalid_declaration:
        return "invalid_declaration";
    case result_code::conflict:
        return "conflict";
    case result_code::bad_signature:
        return "bad_signature";
    case result_code::wrong_team:
        return "wrong_team";
    case result_code::outcome_unknown:
        return "outcome_unknown";
    case result_code::log_unavailable:
        return "log_unavailable";
    case result_code::log_truncated:
        return "log_truncated";
    case result_code::not_found:
        return "not_found";
    case result_code::not_ready:
        return "not_ready";
    case result_code::snapshot_invalid:
        return "snapshot_invalid";
    case result_code::peer_unreachable:
        return "peer_unreachable";
    case result_code::peer_refused:
        return "peer_refused";
    case result_code::stale_fence:
        return "stale_fence";
    case result_code::start_refused:
        return "start_refused";
    case result_code::move_not_open:
        return "move_not_open";
    case result_code::invalid_request:
        return "invalid_request";
    case result_code::request_too_large:
        return "request_too_large";
    case result_code::unknown_service:
        return "unknown_service";
    case result_code::unknown_workspace:
        return "unknown_workspace";
    case result_code::rate_limited:
        return "rate_limited";
    case result_code::shed:
        return "shed";
    case result_code::no_endpoint:
        return "no_endpoint";
    case result_code::deadline_exceeded:
        return "deadline_exceeded";
    case result_code::endpoint_not_started:
        return "endpoint_not_started";
    case result_code::endpoint_failed:
        return "endpoint_failed";
    case result_code::endpoint_lost:
        return "endpoint_lost";
    case result_code::claim_lost:
        return "claim_lost";
    case result_code::claim_unavailable:
        return "claim_unavailable";
    case result_code::cancelled:
        return "cancelled";
    case result_code::retry_budget_exhausted:
        return "retry_budget_exhausted";
    case result_code::unknown_request:
        return "unknown_request";
    case result_code::unknown_route:
        return "unknown_route";
    case result_code::outside_home_regions:
        return "outside_home_regions";
    case result_code::zone_evacuated:
        return "zone_evacuated";
    case result_code::endpoints_cold:
        return "endpoints_cold";
    case result_code::usage:
        return "usage";
    case result_code::node_unreachable:
        return "node_unreachable";
    case result_code::declarations_differ:
        return "declarations_differ";
    case result_code::move_rolled_back:
        return "move_rolled_back";
    }
    return "unknown_code";
}

const std::vector<result_code>& all_result_codes()
{
    static const std::vector<result_code> codes{
        result_code::ok,
        result_code::invalid_setting,
        result_code::timeout,
        result_code::ring_full,
        result_code::stopping,
        result_code::malformed_message,
        result_code::io_error,
        result_code::invalid_path,
        result_code::invalid_declaration,
        result_code::conflict,
        result_code::bad_signature,
        result_code::wrong_team,
        result_code::outcome_unknown,
        result_code::log_unavailable,
        result_code::log_truncated,
        result_code::not_found,
        result_code::not_ready,
        result_code::snapshot_invalid,
        result_code::peer_unreachable,
        result_code::peer_refused,
        result_code::stale_fence,
        result_code::start_refused,
        result_code::move_not_open,
        result_code::invalid_request,
        result_code::request_too_large,
        result_code::unknown_service,
        result_code::unknown_workspace,
        result_code::rate_limited,
        result_code::shed,
        result_code::no_endpoint,
        result_code::deadline_exceeded,
        result_code::endpoint_not_started,
        result_code::endpoint_failed,
        result_code::endpoint_lost,
        result_code::claim_lost,
        result_code::claim_unavailable,
        result_code::cancelled,
        result_code::retry_budget_exhausted,
        result_code::unknown_request,
        result_code::unknown_route,
        result_code::outside_home_regions,
        result_code::zone_evacuated,
        result_code::endpoints_cold,
        result_code::usage,
        result_code::node_unreachable,
        result_code::declarations_differ,
        result_code::move_rolled_back,
    };
    return codes;
}

} // namespace chivedeal
