#ifndef CHIVEDEAL_REQUESTS_ROUTE_QUERY_HPP
#define CHIVEDEAL_REQUESTS_ROUTE_QUERY_HPP

#include "chivedeal/core/id.hpp"

#include <cstdint>
#include <set>
#include <string>

namespace chivedeal::requests {

/// The properties of a request that routing uses.
struct route_query
{
    request_id request;
    service_id service;
    std::string route;
    std::string prefix;
    /// Prompt tokens to compute if nothing is cached.
    std::uint64_t prompt_tokens = 0;
    /// Endpoints where earlier attempts of the request failed.
    std::set<endpoint_id> excluded;

    friend bool operator==(const route_query&, const route_query&) = default;
};

} // namespace chivedeal::requests

#endif
