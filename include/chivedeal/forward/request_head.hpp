#ifndef CHIVEDEAL_FORWARD_REQUEST_HEAD_HPP
#define CHIVEDEAL_FORWARD_REQUEST_HEAD_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/prompt_part.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivedeal::forward {

/// The parts of a caller's request that routing and admission depend on.
struct request_head
{
    request_id id;
    std::string method;
    /// Path and query as sent.
    std::string target;
    std::string host;
    /// The caller's bearer key; empty if none was sent.
    std::string key;
    /// How long the caller waits, if it says so.
    std::optional<absl::Duration> deadline;
    bool has_token_counts = false;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_output_tokens = 0;
    /// In the order of the prompt; the last part is specific to this request.
    std::vector<prompt_part> prefix;
    /// The event after which the caller resumes a stream; empty if it doesn't.
    std::string last_event_id;

    friend bool operator==(const request_head&, const request_head&) = default;
};

} // namespace chivedeal::forward

#endif
