#ifndef CHIVEDEAL_ERA_POSITION_HPP
#define CHIVEDEAL_ERA_POSITION_HPP

#include <cstdint>

namespace chivedeal::era {

/// Bits of a position that hold the offset. Tokens are sent as JSON numbers, which some receivers
/// read as doubles: 40 bits for the offset leave 13 of the 53 exact bits for the epoch.
constexpr int offset_bits = 40;

/// Returns the position of a record, which is higher than all positions of earlier epochs. In epoch
/// 0, that of stores without epochs, it is the offset.
constexpr std::uint64_t make_position(std::uint64_t epoch, std::uint64_t offset)
{
    return (epoch << offset_bits) + offset;
}

constexpr std::uint64_t epoch_of(std::uint64_t position) { return position >> offset_bits; }

constexpr std::uint64_t offset_of(std::uint64_t position)
{
    return position & ((std::uint64_t{1} << offset_bits) - 1);
}

} // namespace chivedeal::era

#endif
