#ifndef CHIVEDEAL_FORWARD_EXCHANGE_HPP
#define CHIVEDEAL_FORWARD_EXCHANGE_HPP

#include "chivedeal/forward/endpoint_choice.hpp"
#include "chivedeal/forward/endpoint_query.hpp"
#include "chivedeal/forward/event_boundary.hpp"
#include "chivedeal/forward/event_splitter.hpp"
#include "chivedeal/forward/http_request.hpp"
#include "chivedeal/forward/http_response_head.hpp"
#include "chivedeal/forward/request_head.hpp"
#include "chivedeal/forward/retry_rule.hpp"
#include "chivedeal/forward/route_index.hpp"
#include "chivedeal/forward/status_line_detector.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace chivedeal::forward {

/// State of one caller's request from its arrival to the end of its response.
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
    /// Value in [0, 1) derived from the request ID. It selects the version, and is the same for
    /// every attempt.
    double routing_sample = 0;
    /// Requests or tokens charged to the quota of the workspace.
    double quota_cost = 0;
    absl::Time arrived_at;
    /// The earlier of the caller's deadline and the timeout of the route.
    absl::Time give_up_at;
    retry_rule rule{{}};

    /// The endpoint of the attempt in progress.
    std::optional<endpoint_choice> attempt_choice;
    /// The endpoint of the latest attempt, kept for the log after the attempt ends.
    endpoint_choice last_choice;
    bool attempt_sent = false;
    bool attempt_head_received = false;
    /// The endpoint has read the prompt and begun to send the response body.
    bool attempt_body_started = false;
    absl::Time attempt_body_started_at = absl::InfiniteFuture();
    /// Body bytes of a stream after the first ones, and when the last of them arrived.
    std::size_t attempt_later_bytes = 0;
    absl::Time attempt_last_byte_at = absl::InfiniteFuture();
    /// Reading from the endpoint pauses until the caller has read more of the response.
    bool reading_paused = false;
    absl::Time attempt_started_at;
    absl::Time attempt_deadline = absl::InfiniteFuture();
    int attempts_sent = 0;

    http_response_head response_head;
    std::string response_body;
    /// The head of a streamed response has been sent to the caller.
    bool relaying = false;
    /// The attempt, counted from 1, whose head was sent to the caller.
    int first_relayed_attempt = 0;
    /// Content type of the streamed response; resumed parts must have the same.
    std::string stream_content_type;
    event_splitter events;
    status_line_detector foreign_head;
    /// Tracks the events of a stream that can't be resumed.
    event_boundary boundary;
    absl::Time first_byte_at = absl::InfiniteFuture();
    bool usage_counted = false;
    /// An endpoint has answered for long enough to show that the prompt doesn't crash it.
    bool prompt_is_sound = false;
    /// Memory of the request, until it is released, and of what was parsed from it.
    std::size_t request_bytes = 0;
    std::size_t parsed_bytes = 0;
    /// Due time under which the exchange is registered in the timer queue.
    absl::Time timer_at = absl::InfiniteFuture();
};

} // namespace chivedeal::forward

#endif
