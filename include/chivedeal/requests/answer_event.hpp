#ifndef CHIVEDEAL_REQUESTS_ANSWER_EVENT_HPP
#define CHIVEDEAL_REQUESTS_ANSWER_EVENT_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/error.hpp"
#include "chivedeal/requests/outcome.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace chivedeal::requests {

/// One token, or the body of a plain service's answer at position 0.
struct answer_token
{
    std::uint64_t position = 0;
    std::string text;

    friend bool operator==(const answer_token&, const answer_token&) = default;
};

/// The outcome of the request; always the last event.
struct answer_end
{
    outcome result = outcome::answered;
    /// `ok` if the request was answered.
    error reason;

    friend bool operator==(const answer_end&, const answer_end&) = default;
};

/// The stream continues at a peer, where the caller resumes it.
struct answer_moved
{
    address peer;

    friend bool operator==(const answer_moved&, const answer_moved&) = default;
};

/// An event sent to the caller.
using answer_event = std::variant<answer_token, answer_end, answer_moved>;

} // namespace chivedeal::requests

#endif
