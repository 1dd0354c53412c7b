#include "chivedeal/requests/claim_tracker.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace chivedeal::requests {

claim_tracker::claim_tracker(options settings) : m_options(std::move(settings)) {}

std::optional<state::record> claim_tracker::propose(const request_id& request,
                                                    const std::string& key, absl::Time now)
{
    if (m_pending.contains(key) || m_pending.size() >= m_options.max_pending)
        return std::nullopt;
    const pending claim{.request = request,
                        .change = next_change_id("claim"),
                        .deadline = now + m_options.claim_timeout};
    m_pending[key] = claim;
    return state::record{.change = claim.change,
                         .body = state::claim{.key = key,
                                              .node = m_options.node,
                                              .attempt = static_cast<int>(m_last_change_number)}};
}

std::optional<request_id> claim_tracker::withdraw(const std::string& key)
{
    const auto it = m_pending.find(key);
    if (it == m_pending.end())
        return std::nullopt;
    const request_id request = it->second.request;
    m_pending.erase(it);
    return request;
}

void claim_tracker::abandon(const std::string& key)
{
    if (const auto it = m_pending.find(key); it != m_pending.end())
        it->second.abandoned = true;
}

std::vector<request_id> claim_tracker::expire(absl::Time now)
{
    std::vector<request_id> expired;
    for (auto& [key, claim] : m_pending) {
        if (claim.abandoned || now < claim.deadline)
            continue;
        claim.abandoned = true;
        expired.push_back(claim.request);
    }
    return expired;
}

claim_tracker::decision claim_tracker::apply(const state::applied_record& applied, absl::Time now)
{
    const bool took_effect = applied.effect.code == result_code::ok;
    if (const auto* claimed = std::get_if<state::claim>(&applied.entry.body))
        return apply_claim(applied, *claimed, now);
    if (const auto* released = std::get_if<state::claim_release>(&applied.entry.body)) {
        if (took_effect)
            erase(released->key);
    }
    else if (const auto* finished = std::get_if<state::claim_result>(&applied.entry.body)) {
        if (const auto it = m_entries.find(finished->key); took_effect && it != m_entries.end())
            store_result(it->second, *finished);
    }
    return {};
}

claim_tracker::decision claim_tracker::apply_claim(const state::applied_record& applied,
                                                   const state::claim& claim, absl::Time now)
{
    const bool took_effect = applied.effect.code == result_code::ok;
    if (took_effect)
        remember({.key = claim.key,
                  .node = claim.node,
                  .attempt = claim.attempt,
                  .offset = applied.offset,
                  .finished = false,
                  .outcome = {},
                  .body = {}});
    const bool of_this_process = claim.node == m_options.node &&
                                 absl::StrContains(applied.entry.change.str(),
                                                   absl::StrCat("/", m_options.incarnation, "/"));
    if (!of_this_process)
        return {};
    const auto it = m_pending.find(claim.key);
    if (it == m_pending.end() || it->second.change != applied.entry.change)
        return {};
    const pending decided = it->second;
    m_pending.erase(it);
    if (!took_effect)
        return {.result = verdict::lost, .request = decided.request, .key = claim.key};
    // Check the deadline here too: after a pause of the node, the record may arrive before a tick.
    const bool too_late = decided.abandoned || now >= decided.deadline;
    return {.result = too_late ? verdict::abandoned : verdict::won,
            .request = decided.request,
            .key = claim.key};
}

void claim_tracker::restore(const std::vector<state::claim_entry>& claims)
{
    for (const state::claim_entry& entry : claims)
        remember(entry);
}

const state::claim_entry* claim_tracker::find(const std::string& key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? nullptr : &it->second;
}

state::record claim_tracker::release(const std::string& key)
{
    const state::claim_entry* entry = find(key);
    return {.change = next_change_id("release"),
            .body = state::claim_release{.key = key,
                                         .node = m_options.node,
                                         .attempt = entry == nullptr ? 0 : entry->attempt}};
}

state::record claim_tracker::finish(const std::string& key, std::string outcome, std::string body)
{
    return {.change = next_change_id("result"),
            .body = state::claim_result{.key = key,
                                        .node = m_options.node,
                                        .outcome = std::move(outcome),
                                        .body = std::move(body)}};
}

change_id claim_tracker::next_change_id(const char* kind)
{
    return change_id(absl::StrCat(kind, "/", m_options.node.str(), "/", m_options.incarnation, "/",
                                  ++m_last_change_number));
}

void claim_tracker::remember(state::claim_entry entry)
{
    const std::string key = entry.key;
    // A claim record that is reported twice must not overwrite the stored result.
    if (m_entries.contains(key))
        return;
    // After releases, a key may occur several times in the insertion order. It is evicted at its
    // first occurrence; the only effect is that a later claim of it conflicts in the log.
    const bool has_result = entry.finished;
    m_body_bytes += entry.body.size();
    m_entries[key] = std::move(entry);
    m_insertion_order.push_back(key);
    if (has_result)
        m_result_order.push_back(key);
    while (m_insertion_order.size() > m_options.max_keys) {
        erase(m_insertion_order.front());
        m_insertion_order.pop_front();
    }
    drop_oldest_results();
}

void claim_tracker::store_result(state::claim_entry& entry, const state::claim_result& result)
{
    m_body_bytes += result.body.size();
    m_body_bytes -= entry.body.size();
    entry.finished = true;
    entry.outcome = result.outcome;
    entry.body = result.body;
    m_result_order.push_back(entry.key);
    drop_oldest_results();
}

void claim_tracker::erase(const std::string& key)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return;
    m_body_bytes -= found->second.body.size();
    m_entries.erase(found);
}

void claim_tracker::drop_oldest_results()
{
    while (!m_result_order.empty() && (m_body_bytes > m_options.max_body_bytes ||
                                       m_result_order.size() > m_options.max_keys)) {
        const auto found = m_entries.find(m_result_order.front());
        m_result_order.pop_front();
        if (found == m_entries.end() || m_body_bytes <= m_options.max_body_bytes)
            continue;
        m_body_bytes -= found->second.body.size();
        std::string().swap(found->second.body);
        found->second.outcome = "unknown";
    }
}

} // namespace chivedeal::requests
