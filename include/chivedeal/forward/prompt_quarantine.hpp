#ifndef CHIVEDEAL_FORWARD_PROMPT_QUARANTINE_HPP
#define CHIVEDEAL_FORWARD_PROMPT_QUARANTINE_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/part_suspicion.hpp"
#include "chivedeal/forward/prompt_part.hpp"
#include "chivedeal/forward/prompt_refusal.hpp"
#include "chivedeal/forward/quarantine_change.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::forward {

/// Finds prompt parts that crash endpoints, and keeps requests with such a part from being sent.
///
/// A part is suspect after an endpoint crashed that had a request with it, if no endpoint has ever
/// answered one. Requests with a suspect part are refused, except for one now and then as a trial.
/// After several crashes the part is blocked; after a response it is sound. Nodes merge what they
/// know, as each sees only a few of the crashes. The last part of a prompt belongs to one request
/// and is never suspect.
class prompt_quarantine
{
public:
    struct options
    {
        node_id self;
        /// Crashes after which a part is blocked.
        int min_crashes = 3;
        /// Crashes that are closer together count as one: endpoints that end together have a common
        /// cause. Covers the delay with which peers report crashes.
        absl::Duration crash_separation = absl::Milliseconds(800);
        absl::Duration crash_retention = absl::Minutes(2);
        /// Time from a crash to the next trial. A trial that crashes an endpoint sooner would not
        /// count.
        absl::Duration trial_delay = absl::Milliseconds(800);
        /// Time from the start of a trial to the next one. Covers a response or the detection of a
        /// crash.
        absl::Duration trial_duration = absl::Milliseconds(1200);
        /// Each node adds another fraction of this time, so that usually only one starts a trial.
        absl::Duration trial_jitter = absl::Seconds(1);
        absl::Duration block_duration = absl::Minutes(10);
        /// How long a response proves that a part is sound.
        absl::Duration soundness_retention = absl::Minutes(30);
        /// Limits the memory for sound parts.
        std::size_t max_sound_parts = 8192;
        /// Limits the memory for suspect parts, which come from callers.
        std::size_t max_suspect_parts = 4096;
        /// Limits the suspicions in a beacon.
        std::size_t max_reported_parts = 16;
        /// Limits the crashes that a beacon names for a part, the latest first.
        std::size_t max_reported_crashes = 8;
    };

    prompt_quarantine() : prompt_quarantine(options{}) {}
    explicit prompt_quarantine(options settings) : m_options(std::move(settings)) {}

    /// An endpoint answered a request with these parts.
    void on_sound(const std::vector<prompt_part>& prefix, absl::Time now);
    /// An endpoint crashed before it had answered a request with these parts. `incarnation`
    /// identifies the endpoint and its start.
    void on_crash(const std::string& incarnation, const std::vector<prompt_part>& prefix,
                  absl::Time now);
    void on_peer_suspicions(const std::vector<part_suspicion>& suspicions, absl::Time now);

    /// Returns what the peers should know, the most suspicious parts first.
    std::vector<part_suspicion> suspicions(absl::Time now) const;

    /// Returns why a request with these parts is refused; nothing if it may be sent.
    std::optional<prompt_refusal> refusal(const std::vector<prompt_part>& prefix,
                                          absl::Time now) const;

    /// Whether an endpoint crashed earlier while it had a request with one of these parts, and none
    /// has answered one.
    bool is_suspect(const std::vector<prompt_part>& prefix) const;

    /// A request with these parts is about to be sent. Returns whether that is a trial of suspect
    /// parts.
    bool on_sending(const std::vector<prompt_part>& prefix, absl::Time now);

    /// Whether peers should learn at once of a crash, a trial or a response that this node saw since
    /// the last call.
    bool take_urgent_update() { return std::exchange(m_has_urgent_update, false); }

    /// Returns the parts that were blocked or released since the last call.
    std::vector<quarantine_change> take_changes() { return std::exchange(m_changes, {}); }

private:
    struct suspect
    {
        int depth = 0;
        std::map<std::string, absl::Time> crashes;
        absl::Time sound_at = absl::InfinitePast();
        absl::Time blocked_at = absl::InfinitePast();
        absl::Time own_trial_at = absl::InfinitePast();
        absl::Time next_trial_at = absl::InfinitePast();
    };

    // Returns null if the part isn't known and there are too many.
    suspect* find_or_add(const std::string& part);
    void postpone_trial(const std::string& id, suspect& part, absl::Time until) const;
    bool is_blocked(const suspect& part, absl::Time now) const;
    bool is_sound(const std::string& part, absl::Time now) const;
    void record_sound(const std::string& part, absl::Time at, absl::Time now);
    // Counts crashes that are apart, without those in `explained`.
    int count_crashes(const suspect& part, const std::set<std::string>& explained) const;
    part_suspicion report(const std::string& id, const suspect& part, absl::Time now) const;
    void update_blocks(absl::Time now);
    void expire(absl::Time now);

    options m_options;
    absl::flat_hash_map<std::string, suspect> m_suspects;
    absl::flat_hash_map<std::string, absl::Time> m_sound_at;
    std::vector<quarantine_change> m_changes;
    bool m_has_urgent_update = false;
};

} // namespace chivedeal::forward

#endif
