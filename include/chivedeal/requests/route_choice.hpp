#ifndef CHIVEDEAL_REQUESTS_ROUTE_CHOICE_HPP
#define CHIVEDEAL_REQUESTS_ROUTE_CHOICE_HPP

#include "chivedeal/membership/endpoint.hpp"

#include <string>

namespace chivedeal::requests {

/// The endpoint chosen for an attempt and why.
struct route_choice
{
    membership::endpoint target;
    /// Predicted cost, in milliseconds of time to first token.
    double score = 0;
    std::string reason;
    /// The best candidates with their scores, for the log.
    std::string candidates;

    friend bool operator==(const route_choice&, const route_choice&) = default;
};

} // namespace chivedeal::requests

#endif
