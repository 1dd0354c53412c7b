#include "chivedeal/forward/unit_interval_hash.hpp"

#include <xxhash.h>

#include <cstdint>

namespace chivedeal::forward {

double hash_to_unit_interval(const std::string& text)
{
    // A double holds 53 bits exactly.
    const std::uint64_t hash = XXH3_64bits(text.data(), text.size());
    return static_cast<double>(hash >> 11) / static_cast<double>(1ULL << 53);
}

} // namespace chivedeal::forward
