#ifndef CHIVEDEAL_FORWARD_EXCHANGE_HPP
#define CHIVEDEAL_FORWARD_EXCHANGE_HPP

#include "chivedeal/forward/endpoint_choice.hpp"
#include "chivedeal/forward/endpoint_query.hpp"
#include "chivedeal/forward/event_splitter.hpp"
#include "chivedeal/forward/http_request.hpp"
#include "chivedeal/forward/http_response_head.hpp"
#include "chivedeal/forward/request_head.hpp"
#include "chivedeal/forward/retry_rule.hpp"
#include "chivedeal/forward/route_index.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace chivedeal::forward {

/// One caller's request from its arrival to the end of its answer.
struct exchange
{
    std::uint64_t id = 0;
    std::uint64_t connection = 0;
    request_head head;
    http_request request;
    /// The configuration in force when the request was read.
    std::shared_ptr<const route_index> index;
    route_match match;
    endpoint_query query;
    /// Decides between versions and between services of a route, the same for every attempt.
    double random = 0;
    double quota_cost = 0;
    absl::Time arrived;
    /// The caller or the route waits no longer.
    absl::Time give_up_at;
    retry_rule rule{{}};

    /// The attempt under way.
    std::optional<endpoint_choice> attempt;
    /// The last choice, for the log.
    endpoint_choice chosen;
    bool attempt_sent = false;
    bool attempt_answered = false;
    /// Prompt tokens that the endpoint is expected to read.
    bool attempt_read = false;
    absl::Time attempt_started;
    absl::Time attempt_deadline = absl::InfiniteFuture();
    int attempts = 0;

    http_response_head answer;
    std::string body;
    /// The caller has got the head of a streamed answer.
    bool relaying = false;
    event_splitter events;
    absl::Time first_byte = absl::InfiniteFuture();
    bool usage_counted = false;
    absl::Time wake_at = absl::InfiniteFuture();
};

} // namespace chivedeal::forward

#endif
