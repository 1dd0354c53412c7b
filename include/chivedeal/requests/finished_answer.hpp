#ifndef CHIVEDEAL_REQUESTS_FINISHED_ANSWER_HPP
#define CHIVEDEAL_REQUESTS_FINISHED_ANSWER_HPP

#include "chivedeal/core/error.hpp"
#include "chivedeal/requests/caller_request.hpp"
#include "chivedeal/requests/outcome.hpp"

#include <string>
#include <vector>

namespace chivedeal::requests {

/// A finished request with its answer, kept for callers that reconnect.
struct finished_answer
{
    caller_request request;
    std::vector<std::string> tokens;
    outcome result = outcome::answered;
    error reason;
    /// Whether a caller was connected when the request finished.
    bool delivered = false;

    friend bool operator==(const finished_answer&, const finished_answer&) = default;
};

} // namespace chivedeal::requests

#endif
