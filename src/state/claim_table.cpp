#include "chivedeal/state/claim_table.hpp"

#include <algorithm>

namespace chivedeal::state {

namespace {

// Limits the memory of a full window.
constexpr std::size_t max_key_bytes = 512;

error claim_conflict(const std::string& key)
{
    return {.code = result_code::conflict,
            .message = "key \"" + key + "\" has no open claim by this node and attempt"};
}

} // namespace

error claim_table::apply(const claim& value, std::uint64_t offset)
{
    if (value.key.empty() || value.key.size() > max_key_bytes || value.node.empty())
        return {.code = result_code::malformed_message,
                .message = "a claim needs a node and a key of 1 to 512 bytes"};
    const auto [found, added] =
        m_claims.try_emplace(value.key, stored_claim{.entry = {.key = value.key,
                                                               .node = value.node,
                                                               .attempt = value.attempt,
                                                               .offset = offset,
                                                               .outcome = {},
                                                               .body = {}}});
    if (!added)
        return {.code = result_code::claim_lost,
                .message =
                    "key \"" + value.key + "\" is claimed by " + found->second.entry.node.str()};
    m_claim_order.emplace_back(offset, value.key);
    return {};
}

error claim_table::apply(const claim_release& value)
{
    const auto found = m_claims.find(value.key);
    if (found == m_claims.end() || found->second.entry.finished ||
        found->second.entry.node != value.node || found->second.entry.attempt != value.attempt)
        return claim_conflict(value.key);
    m_claims.erase(found);
    return {};
}

error claim_table::apply(const claim_result& value, std::uint64_t offset)
{
    const auto found = m_claims.find(value.key);
    if (found == m_claims.end() || found->second.entry.finished ||
        found->second.entry.node != value.node)
        return claim_conflict(value.key);
    claim_entry& entry = found->second.entry;
    entry.finished = true;
    entry.outcome = value.outcome;
    entry.body = value.body;
    found->second.result_offset = offset;
    m_body_bytes += entry.body.size();
    m_result_order.emplace_back(offset, value.key);
    discard_oldest_bodies();
    return {};
}

void claim_table::remove_expired(std::uint64_t offset)
{
    while (!m_claim_order.empty() && m_claim_order.front().first + m_options.window <= offset) {
        const auto& [claim_offset, key] = m_claim_order.front();
        // A released key may have been claimed again later.
        if (const auto found = m_claims.find(key);
            found != m_claims.end() && found->second.entry.offset == claim_offset)
            erase(key);
        m_claim_order.pop_front();
    }
    // Drop results without a claim, so that their queue stays as short as the window.
    while (!m_result_order.empty()) {
        const auto& [result_offset, key] = m_result_order.front();
        const auto found = m_claims.find(key);
        if (found != m_claims.end() && found->second.result_offset == result_offset)
            return;
        m_result_order.pop_front();
    }
}

std::optional<claim_entry> claim_table::find(const std::string& key) const
{
    const auto found = m_claims.find(key);
    if (found == m_claims.end())
        return std::nullopt;
    return found->second.entry;
}

std::vector<stored_claim> claim_table::contents() const
{
    std::vector<stored_claim> claims;
    claims.reserve(m_claims.size());
    for (const auto& [offset, key] : m_claim_order)
        if (const auto found = m_claims.find(key);
            found != m_claims.end() && found->second.entry.offset == offset)
            claims.push_back(found->second);
    return claims;
}

void claim_table::restore(const std::vector<stored_claim>& contents)
{
    m_claims.clear();
    m_claim_order.clear();
    m_result_order.clear();
    m_body_bytes = 0;
    for (const stored_claim& stored : contents) {
        m_claims.insert_or_assign(stored.entry.key, stored);
        m_claim_order.emplace_back(stored.entry.offset, stored.entry.key);
        m_body_bytes += stored.entry.body.size();
        if (stored.entry.finished)
            m_result_order.emplace_back(stored.result_offset, stored.entry.key);
    }
    std::sort(m_result_order.begin(), m_result_order.end());
}

void claim_table::erase(const std::string& key)
{
    const auto found = m_claims.find(key);
    m_body_bytes -= found->second.entry.body.size();
    m_claims.erase(found);
}

void claim_table::discard_oldest_bodies()
{
    while (m_body_bytes > m_options.max_body_bytes && !m_result_order.empty()) {
        const auto& [offset, key] = m_result_order.front();
        const auto found = m_claims.find(key);
        if (found != m_claims.end() && found->second.result_offset == offset) {
            m_body_bytes -= found->second.entry.body.size();
            found->second.entry.body.clear();
            found->second.entry.outcome = "unknown";
        }
        m_result_order.pop_front();
    }
}

} // namespace chivedeal::state
