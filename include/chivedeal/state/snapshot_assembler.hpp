#ifndef CHIVEDEAL_STATE_SNAPSHOT_ASSEMBLER_HPP
#define CHIVEDEAL_STATE_SNAPSHOT_ASSEMBLER_HPP

#include "chivedeal/state/record.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace chivedeal::state {

/// Reassembles snapshots from chunks, which may be out of order or repeated.
///
/// Keeps only a few of the newest incomplete snapshots, since a writer that crashes leaves one.
class snapshot_assembler
{
public:
    /// Returns the encoded snapshot when the chunk completes it and its hash matches.
    std::optional<std::string> add(const change_id& change, const snapshot_chunk& chunk);

private:
    struct partial
    {
        std::string id;
        std::uint64_t covered_offset = 0;
        std::vector<std::optional<std::string>> parts;
        std::size_t missing = 0;
    };

    partial* find_or_add(const std::string& id, const snapshot_chunk& chunk);

    std::deque<partial> m_partials;
};

} // namespace chivedeal::state

#endif
