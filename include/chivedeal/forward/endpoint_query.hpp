#ifndef CHIVEDEAL_FORWARD_ENDPOINT_QUERY_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_QUERY_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/prompt_part.hpp"
#include "chivedeal/regions/home_regions.hpp"

#include <cstdint>
#include <vector>

namespace chivedeal::forward {

/// The properties of a request that decide which endpoint is chosen.
struct endpoint_query
{
    service_id service;
    std::int64_t prompt_tokens = 0;
    std::vector<prompt_part> prefix;
    /// Endpoints that were already tried.
    std::vector<endpoint_id> excluded;
    regions::home_regions homes;

    friend bool operator==(const endpoint_query&, const endpoint_query&) = default;
};

} // namespace chivedeal::forward

#endif
