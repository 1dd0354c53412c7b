#ifndef CHIVEDEAL_OPERATORS_CALLER_ANSWER_HPP
#define CHIVEDEAL_OPERATORS_CALLER_ANSWER_HPP

#include "chivedeal/core/error.hpp"
#include "chivedeal/core/id.hpp"

#include <string>
#include <vector>

namespace chivedeal::operators {

/// What a caller has at the end of its request.
struct caller_answer
{
    request_id request;
    /// `answered`, `not_run`, `failed` or `unknown`.
    std::string outcome;
    error reason;
    std::vector<std::string> tokens;
    /// Times the caller went on at another address.
    int resumes = 0;
    /// Times the caller had to repeat the request from its start.
    int repeats = 0;

    friend bool operator==(const caller_answer&, const caller_answer&) = default;
};

} // namespace chivedeal::operators

#endif
