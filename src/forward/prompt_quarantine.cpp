#include "chivedeal/forward/prompt_quarantine.hpp"

#include "chivedeal/forward/unit_interval_hash.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace chivedeal::forward {

namespace {

// Names of parts come from callers. Longer ones would make beacons exceed a datagram.
constexpr std::size_t max_part_name_bytes = 64;

// Reports of the same response differ by the time for which they were under way. Without this
// tolerance, nodes that report to each other would make it ever more recent.
constexpr absl::Duration max_report_delay = absl::Seconds(5);

} // namespace

bool prompt_quarantine::is_blocked(const suspect& part, absl::Time now) const
{
    return part.blocked_at > part.sound_at && now - part.blocked_at < m_options.block_duration;
}

bool prompt_quarantine::is_sound(const std::string& part, absl::Time now) const
{
    const auto found = m_sound_at.find(part);
    return found != m_sound_at.end() && now - found->second < m_options.soundness_retention;
}

void prompt_quarantine::on_sound(const std::vector<prompt_part>& prefix, absl::Time now)
{
    m_has_urgent_update = m_has_urgent_update || is_suspect(prefix);
    for (std::size_t depth = 0; depth + 1 < prefix.size(); ++depth)
        record_sound(prefix[depth].id, now, now);
}

void prompt_quarantine::record_sound(const std::string& part, absl::Time at, absl::Time now)
{
    absl::Time& sound_at = m_sound_at.try_emplace(part, at).first->second;
    sound_at = std::max(sound_at, at);
    if (m_sound_at.size() > m_options.max_sound_parts)
        absl::erase_if(m_sound_at, [&](const auto& entry) {
            return now - entry.second > m_options.soundness_retention / 2;
        });
    // Without any old entry, all are dropped: they return with the next responses.
    if (m_sound_at.size() > m_options.max_sound_parts)
        m_sound_at.clear();
    const auto found = m_suspects.find(part);
    if (found == m_suspects.end())
        return;
    if (is_blocked(found->second, now) && at > found->second.blocked_at)
        m_changes.push_back({.part = part, .blocked = false});
    found->second.sound_at = std::max(found->second.sound_at, at);
    found->second.crashes.clear();
}

void prompt_quarantine::on_crash(const std::string& incarnation,
                                 const std::vector<prompt_part>& prefix, absl::Time now)
{
    for (std::size_t depth = 0; depth + 1 < prefix.size(); ++depth) {
        if (is_sound(prefix[depth].id, now) || prefix[depth].id.size() > max_part_name_bytes)
            continue;
        const std::string& id = prefix[depth].id;
        suspect* known = find_or_add(id);
        if (known == nullptr)
            continue;
        suspect& part = *known;
        part.depth = static_cast<int>(depth);
        if (!part.crashes.try_emplace(incarnation, now).second)
            continue;
        postpone_trial(id, part, now + m_options.trial_delay);
        m_has_urgent_update = true;
    }
    update_blocks(now);
}

prompt_quarantine::suspect* prompt_quarantine::find_or_add(const std::string& part)
{
    if (m_suspects.size() >= m_options.max_suspect_parts && !m_suspects.contains(part))
        return nullptr;
    return &m_suspects[part];
}

// The jitter depends on the node and on the number of crashes, so that another node is first each
// time.
void prompt_quarantine::postpone_trial(const std::string& id, suspect& part, absl::Time until) const
{
    const double fraction = hash_to_unit_interval(
        absl::StrCat(m_options.self.str(), "\n", id, "\n", part.crashes.size()));
    part.next_trial_at = std::max(part.next_trial_at, until + fraction * m_options.trial_jitter);
}

bool prompt_quarantine::on_sending(const std::vector<prompt_part>& prefix, absl::Time now)
{
    if (!is_suspect(prefix))
        return false;
    for (std::size_t depth = 0; depth + 1 < prefix.size(); ++depth) {
        const auto found = m_suspects.find(prefix[depth].id);
        if (found == m_suspects.end() || found->second.crashes.empty())
            continue;
        found->second.own_trial_at = now;
        postpone_trial(found->first, found->second, now + m_options.trial_duration);
    }
    m_has_urgent_update = true;
    return true;
}

void prompt_quarantine::on_peer_suspicions(const std::vector<part_suspicion>& suspicions,
                                           absl::Time now)
{
    for (const part_suspicion& reported : suspicions) {
        suspect* found = find_or_add(reported.part);
        if (found == nullptr)
            continue;
        suspect& part = *found;
        part.depth = reported.depth;
        const auto known = m_sound_at.find(reported.part);
        const absl::Time known_sound_at =
            known == m_sound_at.end() ? absl::InfinitePast() : known->second;
        part.sound_at = std::max(part.sound_at, known_sound_at);
        if (reported.sound_age && now - *reported.sound_age > known_sound_at + max_report_delay)
            record_sound(reported.part, now - *reported.sound_age, now);
        if (is_sound(reported.part, now))
            continue;
        for (const auto& [incarnation, age] : reported.crashes)
            if (part.crashes.try_emplace(incarnation, now - age).second)
                postpone_trial(reported.part, part, now - age + m_options.trial_delay);
        if (reported.trial_age)
            postpone_trial(reported.part, part,
                           now - *reported.trial_age + m_options.trial_duration);
        if (reported.blocked_age && !is_blocked(part, now)) {
            part.blocked_at = now - *reported.blocked_age;
            if (is_blocked(part, now))
                m_changes.push_back(
                    {.part = reported.part, .blocked = true, .crashes = count_crashes(part, {})});
        }
    }
    update_blocks(now);
}

int prompt_quarantine::count_crashes(const suspect& part,
                                     const std::set<std::string>& explained) const
{
    std::vector<absl::Time> times;
    for (const auto& [incarnation, at] : part.crashes)
        if (explained.count(incarnation) == 0)
            times.push_back(at);
    std::sort(times.begin(), times.end());
    int count = 0;
    absl::Time last_counted = absl::InfinitePast();
    for (const absl::Time at : times) {
        if (at - last_counted < m_options.crash_separation)
            continue;
        last_counted = at;
        ++count;
    }
    return count;
}

// Prompts that share a deadly part usually share the parts before it as well, so the deepest part
// is blocked first. Its crashes are then explained and don't count against the others.
void prompt_quarantine::update_blocks(absl::Time now)
{
    expire(now);
    std::set<std::string> explained;
    std::vector<std::pair<int, std::string>> candidates;
    for (const auto& [id, part] : m_suspects) {
        if (!is_blocked(part, now))
            candidates.emplace_back(-part.depth, id);
        else
            for (const auto& [incarnation, at] : part.crashes)
                explained.insert(incarnation);
    }
    std::sort(candidates.begin(), candidates.end());
    for (const auto& [negative_depth, id] : candidates) {
        suspect& part = m_suspects.at(id);
        const int crashes = count_crashes(part, explained);
        if (crashes < m_options.min_crashes)
            continue;
        part.blocked_at = now;
        m_changes.push_back({.part = id, .blocked = true, .crashes = crashes});
        for (const auto& [incarnation, at] : part.crashes)
            explained.insert(incarnation);
    }
}

void prompt_quarantine::expire(absl::Time now)
{
    absl::erase_if(m_suspects, [&](auto& entry) {
        suspect& part = entry.second;
        if (is_blocked(part, now))
            return false;
        for (auto crash = part.crashes.begin(); crash != part.crashes.end();)
            crash = now - crash->second > m_options.crash_retention ? part.crashes.erase(crash)
                                                                    : std::next(crash);
        return part.crashes.empty() && now - part.sound_at > m_options.crash_retention;
    });
}

part_suspicion prompt_quarantine::report(const std::string& id, const suspect& part,
                                         absl::Time now) const
{
    part_suspicion reported{.part = id, .depth = part.depth};
    std::vector<std::pair<absl::Duration, std::string>> ages;
    for (const auto& [incarnation, at] : part.crashes)
        ages.emplace_back(now - at, incarnation);
    std::sort(ages.begin(), ages.end());
    for (std::size_t i = 0; i < std::min(ages.size(), m_options.max_reported_crashes); ++i)
        reported.crashes[ages[i].second] = ages[i].first;
    if (part.sound_at != absl::InfinitePast())
        reported.sound_age = now - part.sound_at;
    if (is_blocked(part, now))
        reported.blocked_age = now - part.blocked_at;
    if (part.own_trial_at != absl::InfinitePast())
        reported.trial_age = now - part.own_trial_at;
    return reported;
}

std::vector<part_suspicion> prompt_quarantine::suspicions(absl::Time now) const
{
    // Blocked parts first, then those with the most crashes.
    using rank = std::tuple<bool, std::size_t, absl::Time, std::string>;
    std::vector<rank> ranked;
    for (const auto& [id, part] : m_suspects) {
        absl::Time latest = part.sound_at;
        for (const auto& [incarnation, at] : part.crashes)
            latest = std::max(latest, at);
        ranked.emplace_back(is_blocked(part, now), part.crashes.size(), latest, id);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<part_suspicion> reported;
    for (std::size_t i = 0; i < std::min(ranked.size(), m_options.max_reported_parts); ++i) {
        const std::string& id = std::get<std::string>(ranked[i]);
        reported.push_back(report(id, m_suspects.at(id), now));
    }
    return reported;
}

std::optional<prompt_refusal> prompt_quarantine::refusal(const std::vector<prompt_part>& prefix,
                                                         absl::Time now) const
{
    if (m_suspects.empty())
        return std::nullopt;
    absl::Time until = absl::InfinitePast();
    bool blocked = false;
    for (std::size_t depth = 0; depth + 1 < prefix.size(); ++depth) {
        const auto found = m_suspects.find(prefix[depth].id);
        if (found == m_suspects.end())
            continue;
        const suspect& part = found->second;
        if (is_blocked(part, now)) {
            blocked = true;
            until = std::max(until, part.blocked_at + m_options.block_duration);
        }
        else if (!part.crashes.empty()) {
            until = std::max(until, part.next_trial_at);
        }
    }
    if (until <= now)
        return std::nullopt;
    return prompt_refusal{.blocked = blocked, .retry_after = until - now};
}

bool prompt_quarantine::is_suspect(const std::vector<prompt_part>& prefix) const
{
    for (std::size_t depth = 0; depth + 1 < prefix.size(); ++depth) {
        const auto found = m_suspects.find(prefix[depth].id);
        if (found != m_suspects.end() && !found->second.crashes.empty())
            return true;
    }
    return false;
}

} // namespace chivedeal::forward
