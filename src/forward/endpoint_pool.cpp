#include "chivedeal/forward/endpoint_pool.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chivedeal::forward {

namespace {

// A cautious estimate of how fast an engine reads a prompt; engines report no speed.
constexpr double prompt_tokens_per_ms = 50;
// A token takes longer by this part for each token before it: attention looks at all of them. Without
// it prompts of 40,000 tokens were expected to be read in two thirds of their time.
constexpr double attention_share = 1.4e-5;
// Cost of the link to another region: two ways of about a dozen milliseconds, and traffic between
// regions is paid by volume.
constexpr double remote_region_ms = 120;
constexpr double remote_zone_ms = 4;
// A full batch lengthens the wait for a first token by about this much.
constexpr double full_batch_ms = 72;
// Part of an unexpected delay that is taken for a backlog, and the longest delay that counts.
constexpr double late_weight = 0.3;
constexpr absl::Duration longest_lateness = absl::Seconds(1);
// A request beyond the slots waits for one to end.
constexpr double queued_request_ms = 60;
// Weight of recent failures: an endpoint that fails all looks this much slower.
constexpr double failing_ms = 2000;
// Requests an endpoint may have queued, in parts of its slots, before it counts as full.
constexpr double full_factor = 1.25;
// A shared part of this many tokens has one home in all regions: to read it again costs more than
// the way there. Smaller ones have a home in each region.
constexpr std::int64_t worth_the_way = 2000;
// Reading a token again takes the engine from others, too. With 0.02 ms requests left a busy home
// too soon: tnl-chantier trouble-2 was worth 0.514 instead of 0.537.
constexpr double reread_ms = 0.04;
constexpr absl::Duration part_lifetime = absl::Seconds(60);
constexpr std::size_t most_parts = 512;
// Tokens of a prompt that peers are told of at once: it takes an endpoint longer to read than most
// requests have for their first event beside their own prompt.
constexpr std::int64_t long_prompt = 3000;
// Peers hear a node several times in this time, so that one of them tells each of its requests.
constexpr absl::Duration load_memory = absl::Milliseconds(1500);
// With more of a service's endpoints failing than this part of those in use, the cause is hardly
// theirs alone, and the others can't take all requests.
constexpr double most_failing = 0.5;

// Tokens that take as long to read without any before them.
double reading_tokens(std::int64_t unread, std::int64_t cached)
{
    const auto tokens = static_cast<double>(unread);
    return tokens * (1 + attention_share * (static_cast<double>(cached) + tokens / 2));
}

std::uint64_t rendezvous(const std::string& part, const endpoint_id& endpoint)
{
    const std::string joined = part + "\n" + endpoint.str();
    return XXH3_64bits(joined.data(), joined.size());
}

// The longest shared part names the group of requests that profit from each other's cache; the
// last part is the request's own.
std::string affinity_key(const endpoint_query& query)
{
    if (query.prefix.size() < 2)
        return {};
    return query.prefix[query.prefix.size() - 2].id;
}

std::int64_t shared_tokens(const endpoint_query& query)
{
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < query.prefix.size(); ++i)
        tokens += query.prefix[i].tokens;
    return tokens;
}

} // namespace

void endpoint_pool::update(const endpoint_record& record)
{
    auto& one = m_entries[record.id];
    const bool known = !one.record.id.empty();
    const bool restarted =
        known && (one.record.born_ms != record.born_ms || one.record.address != record.address);
    if (known && one.record.service != record.service)
        remove(record.id);
    auto& current = m_entries[record.id];
    if (restarted) {
        current.parts.clear();
        current.health = {};
    }
    current.record = record;
    auto& peers = m_by_service[record.service];
    if (std::find(peers.begin(), peers.end(), record.id) == peers.end())
        peers.push_back(record.id);
}

void endpoint_pool::remove(const endpoint_id& id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    auto& peers = m_by_service[found->second.record.service];
    peers.erase(std::remove(peers.begin(), peers.end(), id), peers.end());
    for (auto& [peer, loads] : m_peer_loads)
        loads.erase(id);
    m_entries.erase(found);
}

void endpoint_pool::set_version_share(const service_id& service, const version_id& version,
                                      double share)
{
    m_splits[service] = {.version = version, .share = share};
}

void endpoint_pool::clear_version_share(const service_id& service) { m_splits.erase(service); }

result<endpoint_choice> endpoint_pool::choose(const endpoint_query& query, double random,
                                              absl::Time now) const
{
    const auto known = m_by_service.find(query.service);
    if (known == m_by_service.end() || known->second.empty())
        return error{.code = result_code::unknown_service,
                     .message = "the service has no endpoint"};
    const auto candidates = usable(query, random, now);
    if (candidates.empty())
        return error{.code = result_code::no_endpoint, .message = "no endpoint can be used"};

    const std::string key = affinity_key(query);
    const bool anywhere = shared_tokens(query) >= worth_the_way;
    const entry* home = nullptr;
    std::uint64_t best_rank = 0;
    for (const entry* one : candidates) {
        if (key.empty() || (!anywhere && !is_local(*one)))
            continue;
        const std::uint64_t rank = rendezvous(key, one->record.id);
        if (home == nullptr || rank > best_rank) {
            home = one;
            best_rank = rank;
        }
    }
    std::vector<scored> scores;
    for (const entry* one : candidates) {
        const std::int64_t cached = cached_tokens(*one, query, one == home, now);
        scores.push_back({one, predict_ms(*one, query, cached, now), cached});
    }
    const auto best =
        std::min_element(scores.begin(), scores.end(), [](const scored& a, const scored& b) {
            return a.milliseconds < b.milliseconds;
        });
    const entry& chosen = *best->candidate;
    if (chosen.own_requests + chosen.peer_requests >= chosen.record.slots * full_factor)
        return error{.code = result_code::shed, .message = "all endpoints are full"};
    return endpoint_choice{.id = chosen.record.id,
                           .address = chosen.record.address,
                           .version = chosen.record.version,
                           .predicted = absl::Milliseconds(best->milliseconds),
                           .cached_tokens = best->cached_tokens,
                           .reading_tokens = static_cast<std::int64_t>(reading_tokens(
                               query.prompt_tokens - best->cached_tokens, best->cached_tokens)),
                           .candidates = static_cast<int>(candidates.size())};
}

std::vector<const endpoint_pool::entry*> endpoint_pool::usable(const endpoint_query& query,
                                                               double random, absl::Time now) const
{
    std::vector<const entry*> allowed;
    std::vector<const entry*> other_version;
    std::vector<const entry*> paused;
    std::vector<const entry*> failing;
    for (const endpoint_id& id : m_by_service.at(query.service)) {
        const entry& one = m_entries.at(id);
        const bool excluded =
            std::find(query.excluded.begin(), query.excluded.end(), id) != query.excluded.end();
        if (one.record.leaving || excluded || is_rolled_back(one))
            continue;
        const endpoint_health::state health = one.health.at(now, one.read_by);
        if (health != endpoint_health::state::usable)
            (health == endpoint_health::state::failing ? failing : paused).push_back(&one);
        else
            (allows_version(one, random) ? allowed : other_version).push_back(&one);
    }
    if (allowed.empty())
        allowed.swap(other_version);
    if (static_cast<double>(failing.size()) > most_failing * static_cast<double>(allowed.size()))
        allowed.insert(allowed.end(), failing.begin(), failing.end());
    // With every endpoint paused, trying one beats refusing: the pauses are guesses.
    return allowed.empty() ? paused : allowed;
}

bool endpoint_pool::allows_version(const entry& one, double random) const
{
    const auto split = m_splits.find(one.record.service);
    if (split == m_splits.end())
        return true;
    // `random` decides once for a request whether the version takes it.
    const bool takes = random < split->second.share;
    return takes == (one.record.version == split->second.version);
}

bool endpoint_pool::is_rolled_back(const entry& one) const
{
    const auto split = m_splits.find(one.record.service);
    return split != m_splits.end() && split->second.share <= 0 &&
           one.record.version == split->second.version;
}

bool endpoint_pool::is_local(const entry& one) const
{
    const auto region = m_options.zones.find(one.record.zone);
    return region == m_options.zones.end() || region->second == m_options.region;
}

std::int64_t endpoint_pool::cached_tokens(const entry& one, const endpoint_query& query,
                                          bool is_home, absl::Time now) const
{
    std::int64_t cached = 0;
    for (const prompt_part& part : query.prefix) {
        const auto known = one.parts.find(part.id);
        const bool held = known != one.parts.end() && now - known->second < part_lifetime;
        const bool shared = &part != &query.prefix.back();
        // A part that is at home here was probably left by a peer's requests.
        if (!held && !(is_home && shared))
            break;
        cached += part.tokens;
    }
    return std::min(cached, query.prompt_tokens);
}

double endpoint_pool::predict_ms(const entry& one, const endpoint_query& query, std::int64_t cached,
                                 absl::Time now) const
{
    const absl::Duration busy = std::max(absl::ZeroDuration(), one.read_by - now);
    const int requests = one.own_requests + one.peer_requests;
    const int queued = std::max(0, requests + 1 - one.record.slots);
    double milliseconds =
        absl::ToDoubleMilliseconds(busy) +
        reading_tokens(query.prompt_tokens - cached, cached) / prompt_tokens_per_ms +
        static_cast<double>(std::max<std::int64_t>(0, shared_tokens(query) - cached)) * reread_ms +
        full_batch_ms * requests / std::max(one.record.slots, 1) + queued_request_ms * queued +
        failing_ms * one.health.failure_share();
    milliseconds += is_local(one) ? remote_zone_ms : remote_region_ms;
    return milliseconds;
}

void endpoint_pool::add_prompt(entry& one, std::int64_t tokens, absl::Time now)
{
    one.read_by = std::max(one.read_by, now) +
                  absl::Milliseconds(static_cast<double>(tokens) / prompt_tokens_per_ms);
}

void endpoint_pool::on_sent(const endpoint_id& id, std::int64_t reading, absl::Time now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    entry& one = found->second;
    ++one.own_requests;
    one.health.on_sent(now);
    one.own_sent_tokens += reading;
    one.last_used = now;
    add_prompt(one, reading, now);
    if (reading >= long_prompt)
        m_notices.push_back({.node = m_options.self, .endpoint = id, .tokens = reading});
}

void endpoint_pool::on_first_byte(const endpoint_id& id, const endpoint_query& query,
                                  absl::Duration late, absl::Time now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    entry& one = found->second;
    one.health.on_answer_begun(now);
    // An answer that is late shows a backlog that isn't known here; part of it remains.
    if (late > absl::ZeroDuration())
        one.read_by = std::max(one.read_by, now) + std::min(late, longest_lateness) * late_weight;
    if (one.parts.size() > most_parts)
        one.parts.clear();
    for (const prompt_part& part : query.prefix)
        one.parts[part.id] = now;
}

void endpoint_pool::on_bytes(const endpoint_id& id, absl::Time now)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        found->second.health.on_bytes(now);
}

void endpoint_pool::on_ended(const endpoint_id& id, bool answered)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    entry& one = found->second;
    one.own_requests = std::max(0, one.own_requests - 1);
    if (!answered)
        one.health.on_unanswered_end();
}

void endpoint_pool::on_success(const endpoint_id& id, absl::Time now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    ++found->second.own_answered;
    found->second.last_used = now;
    found->second.health.on_outcomes(1, 0, now);
}

void endpoint_pool::on_failure(const endpoint_id& id, absl::Time now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    ++found->second.own_failed;
    found->second.last_used = now;
    found->second.health.on_outcomes(0, 1, now);
}

void endpoint_pool::on_silence(const endpoint_id& id, absl::Time now)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        found->second.health.on_outcomes(0, 1, now);
}

void endpoint_pool::on_unreachable(const endpoint_id& id, absl::Time now)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        found->second.health.on_unreachable(now);
}

void endpoint_pool::on_refused(const endpoint_id& id, absl::Time now)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        found->second.health.on_refused(now);
}

void endpoint_pool::set_peer_load(const node_id& peer, const std::vector<endpoint_load>& loads,
                                  absl::Time now)
{
    const bool is_new = m_peer_loads.find(peer) == m_peer_loads.end();
    peer_loads& known = m_peer_loads[peer];
    count_peer(known, -1);
    for (auto& [id, load] : known) {
        load.requests = 0;
        load.is_silent = false;
    }
    for (const endpoint_load& load : loads) {
        const auto found = m_entries.find(load.endpoint);
        if (found == m_entries.end())
            continue;
        const auto before = known.find(load.endpoint);
        if (before != known.end()) {
            const endpoint_load& last = before->second;
            if (load.sent_tokens > last.sent_tokens)
                add_prompt(found->second, load.sent_tokens - last.sent_tokens, now);
            found->second.health.on_outcomes(load.answered - last.answered,
                                             load.failed - last.failed, now);
        }
        else if (!is_new) {
            // Not told of before: what it counts may be old, but for the last request.
            found->second.health.on_outcomes(std::min<std::int64_t>(load.answered, 1),
                                             std::min<std::int64_t>(load.failed, 1), now);
        }
        // A notice may be newer than the report.
        endpoint_load next = load;
        if (before != known.end())
            next.sent_tokens = std::max(next.sent_tokens, before->second.sent_tokens);
        known.insert_or_assign(load.endpoint, next);
    }
    count_peer(known, 1);
}

void endpoint_pool::on_peer_prompt(const prompt_notice& notice, absl::Time now)
{
    const auto found = m_entries.find(notice.endpoint);
    const auto peer = m_peer_loads.find(notice.node);
    if (found == m_entries.end() || peer == m_peer_loads.end())
        return;
    add_prompt(found->second, notice.tokens, now);
    const auto known = peer->second.find(notice.endpoint);
    if (known != peer->second.end())
        known->second.sent_tokens += notice.tokens;
}

void endpoint_pool::forget_peer(const node_id& peer)
{
    const auto known = m_peer_loads.find(peer);
    if (known == m_peer_loads.end())
        return;
    count_peer(known->second, -1);
    m_peer_loads.erase(known);
}

void endpoint_pool::count_peer(const peer_loads& loads, int sign)
{
    for (const auto& [id, load] : loads) {
        const auto found = m_entries.find(id);
        if (found == m_entries.end())
            continue;
        found->second.peer_requests += sign * load.requests;
        if (load.is_silent)
            found->second.health.count_silent_peers(sign);
    }
}

std::vector<endpoint_load> endpoint_pool::own_load(absl::Time now) const
{
    std::vector<endpoint_load> loads;
    for (const auto& [id, one] : m_entries)
        if (one.own_requests > 0 || now - one.last_used < load_memory)
            loads.push_back({.endpoint = id,
                             .requests = one.own_requests,
                             .sent_tokens = one.own_sent_tokens,
                             .answered = one.own_answered,
                             .failed = one.own_failed,
                             .is_silent = one.health.is_silent_here(now, one.read_by)});
    return loads;
}

} // namespace chivedeal::forward
