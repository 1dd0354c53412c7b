#ifndef CHIVEDEAL_REQUESTS_RECLAIM_STREAM_HPP
#define CHIVEDEAL_REQUESTS_RECLAIM_STREAM_HPP

#include "chivedeal/core/id.hpp"

#include <cstdint>

namespace chivedeal::requests {

/// A running stream on a leaving endpoint.
struct reclaim_stream
{
    request_id request;
    endpoint_id source;
    service_id service;
    version_id version;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t tokens_so_far = 0;
    std::uint64_t expected_tokens_left = 0;
    /// 0 if the engine can't export the KV cache.
    std::uint64_t kv_bytes = 0;
    /// False for non-idempotent requests and plain service calls, which stay until they end.
    bool movable = true;

    friend bool operator==(const reclaim_stream&, const reclaim_stream&) = default;
};

} // namespace chivedeal::requests

#endif
