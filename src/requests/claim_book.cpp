#include "chivedeal/requests/claim_book.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace chivedeal::requests {

claim_book::claim_book(options wiring) : m_options(std::move(wiring)) {}

std::optional<state::record> claim_book::propose(const request_id& request, const std::string& key,
                                                 absl::Time now)
{
    if (m_pending.contains(key) || m_pending.size() >= m_options.max_pending)
        return std::nullopt;
    const pending added{.request = request,
                        .change = next_change("claim"),
                        .deadline = now + m_options.claim_timeout};
    m_pending[key] = added;
    return state::record{
        .change = added.change,
        .body =
            state::claim{.key = key, .node = m_options.node, .attempt = static_cast<int>(m_next)}};
}

std::optional<request_id> claim_book::withdraw(const std::string& key)
{
    const auto found = m_pending.find(key);
    if (found == m_pending.end())
        return std::nullopt;
    const request_id request = found->second.request;
    m_pending.erase(found);
    return request;
}

void claim_book::abandon(const std::string& key)
{
    if (const auto found = m_pending.find(key); found != m_pending.end())
        found->second.abandoned = true;
}

std::vector<request_id> claim_book::expire(absl::Time now)
{
    std::vector<request_id> expired;
    for (auto& [key, one] : m_pending) {
        if (one.abandoned || now < one.deadline)
            continue;
        one.abandoned = true;
        expired.push_back(one.request);
    }
    return expired;
}

claim_book::decision claim_book::apply(const state::applied_record& applied, absl::Time now)
{
    const bool took_effect = applied.effect.code == result_code::ok;
    if (const auto* claimed = std::get_if<state::claim>(&applied.entry.body))
        return apply_claim(applied, *claimed, now);
    if (const auto* released = std::get_if<state::claim_release>(&applied.entry.body)) {
        if (took_effect)
            m_entries.erase(released->key);
    }
    else if (const auto* finished = std::get_if<state::claim_result>(&applied.entry.body)) {
        if (const auto found = m_entries.find(finished->key);
            took_effect && found != m_entries.end()) {
            found->second.finished = true;
            found->second.outcome = finished->outcome;
            found->second.body = finished->body;
        }
    }
    return {};
}

claim_book::decision claim_book::apply_claim(const state::applied_record& applied,
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
    const bool of_this_process =
        claim.node == m_options.node &&
        absl::StrContains(applied.entry.change.str(), absl::StrCat("/", m_options.series, "/"));
    if (!of_this_process)
        return {};
    const auto found = m_pending.find(claim.key);
    if (found == m_pending.end() || found->second.change != applied.entry.change)
        return {};
    const pending decided = found->second;
    m_pending.erase(found);
    if (!took_effect)
        return {.result = verdict::lost, .request = decided.request, .key = claim.key};
    // The deadline counts also when no tick came before the record: the node may have been paused.
    const bool too_late = decided.abandoned || now >= decided.deadline;
    return {.result = too_late ? verdict::abandoned : verdict::won,
            .request = decided.request,
            .key = claim.key};
}

void claim_book::restore(const std::vector<state::claim_entry>& claims)
{
    for (const state::claim_entry& entry : claims)
        remember(entry);
}

const state::claim_entry* claim_book::find(const std::string& key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

state::record claim_book::release(const std::string& key)
{
    const state::claim_entry* held = find(key);
    return {.change = next_change("release"),
            .body = state::claim_release{.key = key,
                                         .node = m_options.node,
                                         .attempt = held == nullptr ? 0 : held->attempt}};
}

state::record claim_book::finish(const std::string& key, std::string outcome, std::string body)
{
    return {.change = next_change("result"),
            .body = state::claim_result{.key = key,
                                        .node = m_options.node,
                                        .outcome = std::move(outcome),
                                        .body = std::move(body)}};
}

change_id claim_book::next_change(const char* kind)
{
    return change_id(
        absl::StrCat(kind, "/", m_options.node.str(), "/", m_options.series, "/", ++m_next));
}

void claim_book::remember(state::claim_entry entry)
{
    const std::string key = entry.key;
    // A record that is reported twice must not take back the result that is already known.
    if (m_entries.contains(key))
        return;
    // A key may have several places in the order after releases; the first forgets it, which only
    // costs a conflicting claim later.
    m_entries[key] = std::move(entry);
    m_order.push_back(key);
    while (m_order.size() > m_options.max_keys) {
        m_entries.erase(m_order.front());
        m_order.pop_front();
    }
}

} // namespace chivedeal::requests
