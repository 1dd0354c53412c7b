#include "chivedeal/state/snapshot_chunks.hpp"

#include "chivedeal/state/snapshot_assembler.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include <xxhash.h>

#include <algorithm>

namespace chivedeal::state {

namespace {

constexpr std::size_t max_incomplete_snapshots = 3;

// 128 MB with the default chunk size, far more than the state of a node.
constexpr int max_chunks = 1024;

std::string snapshot_id(const std::string& data)
{
    const XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
    return absl::StrCat("snapshot-", absl::Hex(hash.high64, absl::kZeroPad16),
                        absl::Hex(hash.low64, absl::kZeroPad16));
}

} // namespace

std::vector<record> make_snapshot_chunks(const std::string& data, std::uint64_t covered_offset,
                                         std::size_t chunk_bytes)
{
    const std::string id = snapshot_id(data);
    const auto count = static_cast<int>((data.size() + chunk_bytes - 1) / chunk_bytes);
    std::vector<record> chunks;
    for (int index = 0; index < count; ++index)
        chunks.push_back(
            {.change = change_id(absl::StrCat(id, "/", index)),
             .body = snapshot_chunk{
                 .covered_offset = covered_offset,
                 .index = index,
                 .count = count,
                 .data = data.substr(static_cast<std::size_t>(index) * chunk_bytes, chunk_bytes)}});
    return chunks;
}

std::optional<std::string> snapshot_assembler::add(const change_id& change,
                                                   const snapshot_chunk& chunk)
{
    if (chunk.count <= 0 || chunk.count > max_chunks || chunk.index < 0 ||
        chunk.index >= chunk.count)
        return std::nullopt;
    const std::string id = change.str().substr(0, change.str().rfind('/'));
    partial* incomplete = find_or_add(id, chunk);
    if (incomplete == nullptr)
        return std::nullopt;
    auto& part = incomplete->parts[static_cast<std::size_t>(chunk.index)];
    if (part)
        return std::nullopt;
    part = chunk.data;
    if (--incomplete->missing > 0)
        return std::nullopt;
    std::string data;
    for (const auto& piece : incomplete->parts)
        data += *piece;
    m_partials.erase(std::find_if(m_partials.begin(), m_partials.end(),
                                  [&](const partial& entry) { return entry.id == id; }));
    if (snapshot_id(data) != id)
        return std::nullopt;
    return data;
}

snapshot_assembler::partial* snapshot_assembler::find_or_add(const std::string& id,
                                                             const snapshot_chunk& chunk)
{
    const auto count = static_cast<std::size_t>(chunk.count);
    for (partial& entry : m_partials)
        if (entry.id == id)
            return entry.parts.size() == count && entry.covered_offset == chunk.covered_offset
                       ? &entry
                       : nullptr;
    if (m_partials.size() == max_incomplete_snapshots)
        m_partials.pop_front();
    m_partials.push_back({.id = id,
                          .covered_offset = chunk.covered_offset,
                          .parts = std::vector<std::optional<std::string>>(count),
                          .missing = count});
    return &m_partials.back();
}

} // namespace chivedeal::state
