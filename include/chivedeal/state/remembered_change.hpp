#ifndef CHIVEDEAL_STATE_REMEMBERED_CHANGE_HPP
#define CHIVEDEAL_STATE_REMEMBERED_CHANGE_HPP

#include <array>
#include <cstdint>
#include <utility>

namespace chivedeal::state {

/// Hash of an applied change ID.
struct remembered_change
{
    /// 128-bit XXH3, so that IDs of any length take the same space.
    std::array<std::uint64_t, 2> hash{};

    friend bool operator==(const remembered_change&, const remembered_change&) = default;

    template<class H>
    // NOLINTNEXTLINE(readability-identifier-naming)
    friend H AbslHashValue(H state, const remembered_change& value)
    {
        return H::combine(std::move(state), value.hash[0], value.hash[1]);
    }
};

} // namespace chivedeal::state

#endif
