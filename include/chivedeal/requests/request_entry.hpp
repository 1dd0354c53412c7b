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

/// One open request: its caller, its attempts and the tokens so far.
class request_entry
{
public:
    enum class token_effect
    {
        added,
        /// Below the next position.
        duplicate,
        /// Above the next position: the answer of the attempt has a hole.
        gap,
    };

    request_entry(caller_request request, std::uint64_t connection, absl::Time arrived);

    const caller_request& request() const { return m_request; }
    absl::Time arrived() const { return m_arrived; }
    /// Same for all attempts, but for the excluded endpoints.
    route_query& query() { return m_query; }
    std::uint64_t prompt_tokens() const { return m_query.prompt_tokens; }

    const std::vector<std::string>& tokens() const { return m_tokens; }
    token_effect add_token(std::uint64_t position, const std::string& text);
    void set_tokens(std::vector<std::string> tokens) { m_tokens = std::move(tokens); }

    /// The live attempt; nothing between attempts.
    const std::optional<attempt_record>& live() const { return m_live; }
    /// Makes an attempt live under the next number and returns it.
    const attempt_record& begin_attempt(attempt_record begun);
    void note_first_token(absl::Time now);
    void end_attempt() { m_live.reset(); }
    int last_attempt() const { return m_last_attempt; }
    void set_last_attempt(int number) { m_last_attempt = number; }

    std::uint64_t connection() const { return m_connection; }
    void attach(std::uint64_t connection);
    void detach(absl::Time resume_until);
    /// Infinite while a caller is there.
    absl::Time resume_until() const { return m_resume_until; }

    run_evidence evidence;
    /// Counted by the limits of its workspace and of the node.
    bool admitted = false;
    /// Failed attempts; migrations are none.
    int failures = 0;
    /// When the next attempt is due; infinite when none is.
    absl::Time retry_at = absl::InfiniteFuture();
    /// A KV cache of the live attempt is on its way to this endpoint; empty for none.
    endpoint_id kv_target;
    /// What becomes of the stream of a leaving endpoint, and when; infinite when nothing is due.
    reclaim_step planned;
    absl::Time planned_at = absl::InfiniteFuture();
    /// The stream was offered to a peer this often.
    int hand_offs = 0;
    /// A peer has been asked and has not answered.
    bool hand_off_pending = false;

private:
    caller_request m_request;
    absl::Time m_arrived;
    route_query m_query;
    std::vector<std::string> m_tokens;
    std::optional<attempt_record> m_live;
    int m_last_attempt = 0;
    std::uint64_t m_connection = 0;
    absl::Time m_resume_until = absl::InfiniteFuture();
};

} // namespace chivedeal::requests

#endif
