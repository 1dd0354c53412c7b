#ifndef CHIVEDEAL_REQUESTS_REQUEST_ENTRY_HPP
#define CHIVEDEAL_REQUESTS_REQUEST_ENTRY_HPP

#include "chivedeal/requests/attempt_record.hpp"
#include "chivedeal/requests/caller_request.hpp"
#include "chivedeal/requests/reclaim_step.hpp"
#include "chivedeal/requests/route_query.hpp"
#include "chivedeal/requests/run_evidence.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivedeal::requests {

/// An open request: its caller, its attempts and the tokens received so far.
class request_entry
{
public:
    enum class token_effect
    {
        added,
        /// The position is below the next expected one.
        duplicate,
        /// The position is above the next expected one: the attempt skipped a token.
        gap,
    };

    request_entry(caller_request request, std::uint64_t connection, absl::Time arrived);

    const caller_request& request() const { return m_request; }
    absl::Time arrived() const { return m_arrived; }
    /// Routing query shared by all attempts; only the excluded endpoints change between them.
    route_query& query() { return m_query; }
    std::uint64_t prompt_tokens() const { return m_query.prompt_tokens; }

    const std::vector<std::string>& tokens() const { return m_tokens; }
    token_effect add_token(std::uint64_t position, const std::string& text);
    void set_tokens(std::vector<std::string> tokens) { m_tokens = std::move(tokens); }

    /// Returns the running attempt, if any.
    const std::optional<attempt_record>& live_attempt() const { return m_live_attempt; }
    /// Assigns the next attempt number, makes the attempt the live one and returns it.
    const attempt_record& begin_attempt(attempt_record attempt);
    void record_first_token(absl::Time now);
    void end_attempt() { m_live_attempt.reset(); }
    /// Number of the most recent attempt; 0 before the first.
    int last_attempt() const { return m_last_attempt; }
    void set_last_attempt(int number) { m_last_attempt = number; }

    std::uint64_t connection() const { return m_connection; }
    void attach_caller(std::uint64_t connection);
    /// Marks the caller as disconnected; it may resume the request until `resume_until`.
    void detach_caller(absl::Time resume_until);
    /// Until when the caller may resume the request; infinite while it is connected.
    absl::Time resume_until() const { return m_resume_until; }

    run_evidence evidence;
    /// Whether the request counts toward the limits of its workspace and of the node.
    bool admitted = false;
    /// Number of failed attempts; migrations do not count.
    int failures = 0;
    /// When the next attempt is due; infinite if none is scheduled.
    absl::Time retry_at = absl::InfiniteFuture();
    /// Endpoint to which the KV cache of the live attempt is being transferred; empty if none.
    endpoint_id kv_target;
    /// Planned migration of the stream off a leaving endpoint, and when it is due; infinite if none
    /// is planned.
    reclaim_step planned_step;
    absl::Time planned_step_at = absl::InfiniteFuture();
    /// Number of times that the stream was offered to a peer.
    int hand_off_attempts = 0;
    /// Whether an offer to a peer has not been answered yet.
    bool hand_off_pending = false;

private:
    caller_request m_request;
    absl::Time m_arrived;
    route_query m_query;
    std::vector<std::string> m_tokens;
    std::optional<attempt_record> m_live_attempt;
    int m_last_attempt = 0;
    std::uint64_t m_connection = 0;
    absl::Time m_resume_until = absl::InfiniteFuture();
};

} // namespace chivedeal::requests

#endif
