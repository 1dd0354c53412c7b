#ifndef CHIVEDEAL_REQUESTS_CACHE_EVENT_HPP
#define CHIVEDEAL_REQUESTS_CACHE_EVENT_HPP

#include <cstdint>
#include <string>

namespace chivedeal::requests {

/// Reports that an engine cached or evicted a prompt prefix.
struct cache_event
{
    std::uint64_t seq = 0;
    std::string prefix;
    std::uint64_t tokens = 0;
    bool cached = true;

    friend bool operator==(const cache_event&, const cache_event&) = default;
};

} // namespace chivedeal::requests

#endif
