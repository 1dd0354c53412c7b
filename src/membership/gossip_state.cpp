#include "chivedeal/membership/gossip_state.hpp"

#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/membership/encoded_size.hpp"
#include "chivedeal/membership/membership_view.hpp"

#include "absl/strings/str_cat.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace chivedeal::membership {

namespace {

// Every fourth exchange goes to another region: enough to spread, and inter-region links are
// billed by volume.
constexpr std::uint64_t other_region_every = 4;
// An item is sent this often for each doubling of the number of nodes, then only in rotation.
constexpr int sends_per_doubling = 2;
// Items sent in rotation repair what was lost, such as after a partition.
constexpr int rotated_items = 2;
// A longer reason would take up a whole message.
constexpr std::size_t max_reason_bytes = 128;

int doublings(std::size_t nodes) { return static_cast<int>(std::bit_width(nodes)); }

// Ascending order of what overrides what at the same incarnation.
int rank(node_status status)
{
    switch (status) {
    case node_status::alive:
        return 0;
    case node_status::leaving:
        return 1;
    case node_status::suspect:
        return 2;
    case node_status::dead:
        return 3;
    }
    return 0;
}

bool is_failing(node_status status)
{
    return status == node_status::suspect || status == node_status::dead;
}

// A fact with a reclaim time is another than one without, so that the time spreads too.
std::string key_of(const fact& value)
{
    if (const auto* leaving = std::get_if<endpoint_leaving>(&value))
        return absl::StrCat("leaving\n", leaving->endpoint.str());
    const auto& bad = std::get<version_bad>(value);
    return absl::StrCat("bad\n", bad.service.str(), "\n", bad.version.str(), "\n",
                        bad.declared_offset);
}

std::uint64_t hash_of(const std::string& key, bool has_time)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), has_time ? 1 : 0);
}

std::size_t bucket_of(const std::string& key) { return hash_of(key, false) % fact_buckets; }

std::uint32_t digest_part(const std::string& key, bool has_time)
{
    return static_cast<std::uint32_t>(hash_of(key, has_time) >> 32U);
}

} // namespace

gossip_state::gossip_state(gossip_options options)
    : m_options(std::move(options)),
      m_random(m_options.random_seed),
      // Sequences of a restarted node continue above those of its earlier life.
      m_sequence(m_options.self.incarnation << 20U)
{
    m_nodes[m_options.self.id] = {.record = m_options.self, .sending = fresh()};
}

gossip_state::~gossip_state() = default;

std::vector<gossip_command> gossip_state::handle(const gossip_event& event, absl::Time now)
{
    m_now = now;
    m_commands.clear();
    std::visit([this](const auto& value) { on(value); }, event);
    push_facts();
    const bool is_tick = std::holds_alternative<gossip_tick>(event);
    if (m_view_changed && (is_tick || m_publish_now)) {
        m_commands.emplace_back(publish_view{view()});
        m_view_changed = false;
        m_publish_now = false;
    }
    return std::move(m_commands);
}

void gossip_state::on(const gossip_tick& /*event*/)
{
    ++m_ticks;
    expire_nodes();
    if ((m_ticks - 1) % static_cast<std::uint64_t>(m_options.retry_ticks) == 0) {
        if (const auto retry = pick_retry())
            m_commands.emplace_back(send_exchange{*retry, make_delta(nullptr, *retry)});
    }
    const node_entry* peer = pick_peer(m_ticks % other_region_every == 0);
    if (peer == nullptr)
        return;
    const address target = peer->record.rpc;
    m_commands.emplace_back(send_exchange{target, make_delta(nullptr, target)});
}

void gossip_state::on(const exchange_received& event)
{
    merge(event.message);
    m_commands.emplace_back(
        answer_exchange{event.reply, make_delta(&event.message, event.message.sender.rpc)});
}

void gossip_state::on(const exchange_answered& event) { merge(event.message); }

void gossip_state::on(const exchange_failed& event)
{
    node_entry* failed = find_by_rpc(event.peer);
    if (failed == nullptr || is_failing(failed->record.status))
        return;
    if (!is_enabled(mechanism::suspicion)) {
        set_status(*failed, node_status::dead);
        return;
    }
    const node_id target = failed->record.id;
    if (m_probes.contains(target))
        return;
    pending_probe probe{.open = 1, .began = m_now};
    m_commands.emplace_back(send_probe{failed->record.rpc, target, failed->record.rpc});
    std::vector<const node_entry*> helpers = live_peers();
    std::shuffle(helpers.begin(), helpers.end(), m_random);
    for (const node_entry* helper : helpers) {
        if (probe.open > m_options.indirect_probes)
            break;
        if (helper->record.id == target)
            continue;
        m_commands.emplace_back(send_probe{helper->record.rpc, target, failed->record.rpc});
        ++probe.open;
    }
    m_probes[target] = probe;
}

void gossip_state::on(const probe_finished& event)
{
    const auto pending = m_probes.find(event.target);
    if (pending == m_probes.end())
        return;
    if (event.reached) {
        m_probes.erase(pending);
        return;
    }
    if (--pending->second.open > 0)
        return;
    const absl::Time began = pending->second.began;
    m_probes.erase(pending);
    const auto found = m_nodes.find(event.target);
    // A node that was heard since is slow to answer, not gone.
    if (found != m_nodes.end() && found->second.heard < began)
        suspect(found->second);
}

void gossip_state::on(const local_fact& event) { add_fact(event.value, event.source); }

void gossip_state::on(const local_demand& event)
{
    std::map<workspace_id, workspace_demand> wanted;
    for (const auto& [workspace, rate] : event.rates)
        wanted[workspace].rate = rate;
    for (const auto& [workspace, open] : event.open_requests)
        wanted[workspace].open_requests = open;
    const node_id& self = m_options.self.id;
    for (const auto& [key, known] : m_demand)
        if (key.first == self)
            wanted.try_emplace(key.second);
    for (auto& [workspace, value] : wanted) {
        value.node = self;
        value.workspace = workspace;
        auto& entry = m_demand[{self, workspace}];
        value.sequence = entry.value.sequence;
        if (entry.value == value)
            continue;
        value.sequence = ++m_sequence;
        entry = {.value = value, .sending = fresh()};
    }
}

void gossip_state::on(const local_outcomes& event)
{
    for (outcome_count count : event.counts) {
        count.node = m_options.self.id;
        auto& entry = m_outcomes[{count.node, count.service, count.version, count.declared_offset,
                                  count.route, count.load_band}];
        if (entry.value.sequence != 0 && entry.value.count == count)
            continue;
        entry = {.value = {.sequence = ++m_sequence, .count = std::move(count)},
                 .sending = fresh()};
    }
}

void gossip_state::on(const local_leaving& /*event*/)
{
    if (m_options.self.status == node_status::leaving)
        return;
    m_options.self.status = node_status::leaving;
    ++m_options.self.incarnation;
    announce_self();
}

void gossip_state::on(const local_ready& /*event*/)
{
    if (m_options.self.ready)
        return;
    m_options.self.ready = true;
    announce_self();
}

void gossip_state::on(const local_offset& event)
{
    if (event.applied <= m_options.self.applied_offset)
        return;
    m_options.self.applied_offset = event.applied;
    node_entry& entry = m_nodes[m_options.self.id];
    entry.record = m_options.self;
    entry.sending = fresh();
    m_view_changed = true;
}

void gossip_state::on(const instances_listed& event)
{
    const auto before = m_registry.endpoints();
    const endpoint_registry::changes changes = m_registry.apply_list(event.endpoints);
    for (const endpoint_id& id : changes.listed)
        report(event_id::endpoint_listed, id.str());
    for (const endpoint_id& id : changes.gone)
        report(event_id::endpoint_gone, id.str());
    for (const endpoint_id& id : changes.leaving)
        add_fact(endpoint_leaving{.endpoint = id}, "list");
    if (before == m_registry.endpoints())
        return;
    m_view_changed = true;
    m_publish_now = true;
}

void gossip_state::merge(const gossip_message& message)
{
    merge_sender(message.sender);
    for (const node_record& record : message.nodes)
        merge_node(record);
    const std::size_t unpushed = m_unpushed.size();
    for (const fact& value : message.facts)
        add_fact(value, "peer");
    if (message.catch_up)
        m_unpushed.resize(unpushed);
    for (const workspace_demand& value : message.demand)
        merge_demand(value);
    for (const outcome_report& value : message.outcomes)
        merge_outcome(value);
}

void gossip_state::merge_sender(const node_record& sender)
{
    merge_node(sender);
    const auto found = m_nodes.find(sender.id);
    if (found != m_nodes.end())
        found->second.heard = m_now;
}

void gossip_state::merge_node(const node_record& incoming)
{
    if (incoming.id == m_options.self.id) {
        merge_self(incoming);
        return;
    }
    const auto found = m_nodes.find(incoming.id);
    if (found == m_nodes.end()) {
        add_node(incoming);
        return;
    }
    node_entry& entry = found->second;
    if (incoming.incarnation < entry.record.incarnation)
        return;
    node_record next = entry.record;
    const bool newer = incoming.incarnation > next.incarnation;
    if (newer) {
        next = incoming;
        next.status = entry.record.status;
    }
    next.ready = next.ready || incoming.ready;
    next.applied_offset = std::max(next.applied_offset, incoming.applied_offset);
    if (!(next == entry.record)) {
        entry.record = next;
        entry.sending = fresh();
        m_view_changed = true;
    }
    node_status status = incoming.status;
    // Each node waits for the refutation itself: after a partition the dead of the other side are
    // alive here.
    if (status == node_status::dead && entry.record.status != node_status::dead &&
        is_enabled(mechanism::suspicion))
        status = node_status::suspect;
    const bool restarts = newer && (status != entry.record.status || is_failing(status));
    if (restarts || rank(status) > rank(entry.record.status))
        set_status(entry, status);
}

void gossip_state::merge_self(const node_record& incoming)
{
    node_record& self = m_options.self;
    const bool refute = incoming.incarnation > self.incarnation ||
                        (incoming.incarnation == self.incarnation && is_failing(incoming.status));
    if (!refute)
        return;
    self.incarnation = incoming.incarnation + 1;
    m_sequence = std::max(m_sequence, self.incarnation << 20U);
    for (auto& [key, entry] : m_demand)
        if (key.first == self.id)
            renew(entry);
    for (auto& [key, entry] : m_outcomes)
        if (std::get<0>(key) == self.id)
            renew(entry);
    announce_self();
}

void gossip_state::add_node(const node_record& incoming)
{
    // A tombstone of a forgotten node would be kept alive by passing it around.
    if (incoming.status == node_status::dead)
        return;
    m_nodes[incoming.id] = {.record = incoming, .sending = fresh(), .since = m_now};
    m_view_changed = true;
    report(event_id::peer_joined, incoming.id.str());
}

void gossip_state::merge_demand(const workspace_demand& incoming)
{
    if (incoming.node == m_options.self.id || !m_nodes.contains(incoming.node))
        return;
    auto& entry = m_demand[{incoming.node, incoming.workspace}];
    if (incoming.sequence <= entry.value.sequence)
        return;
    entry = {.value = incoming, .sending = fresh()};
    m_view_changed = true;
}

void gossip_state::merge_outcome(const outcome_report& incoming)
{
    const outcome_count& count = incoming.count;
    if (count.node == m_options.self.id || !m_nodes.contains(count.node))
        return;
    auto& entry = m_outcomes[{count.node, count.service, count.version, count.declared_offset,
                              count.route, count.load_band}];
    if (incoming.sequence <= entry.value.sequence)
        return;
    entry = {.value = incoming, .sending = fresh()};
    m_view_changed = true;
}

bool gossip_state::add_fact(const fact& value, const std::string& source)
{
    const auto* leaving = std::get_if<endpoint_leaving>(&value);
    if (leaving != nullptr && !is_enabled(mechanism::leaving_facts))
        return false;
    const absl::Time reclaim_at =
        leaving == nullptr ? absl::InfiniteFuture() : m_now + leaving->remaining;
    const bool has_time = reclaim_at != absl::InfiniteFuture();
    const std::string key = key_of(value);
    const auto [position, added] = m_facts.try_emplace(key);
    fact_entry& entry = position->second;
    if (!added && (!has_time || entry.reclaim_at != absl::InfiniteFuture()))
        return false;
    entry.value = value;
    if (auto* bad = std::get_if<version_bad>(&entry.value))
        bad->reason.resize(std::min(bad->reason.size(), max_reason_bytes));
    entry.bucket = bucket_of(key);
    if (!added)
        m_digest[entry.bucket] -= digest_part(key, false);
    m_digest[entry.bucket] += digest_part(key, has_time);
    entry.reclaim_at = reclaim_at;
    entry.sending = fresh();
    m_unpushed.push_back(entry.value);
    if (leaving != nullptr) {
        m_registry.mark_leaving(leaving->endpoint, reclaim_at);
        report(event_id::endpoint_leaving, leaving->endpoint.str(), source);
    }
    else {
        const auto& bad = std::get<version_bad>(value);
        report(event_id::fact_learnt, absl::StrCat(bad.service.str(), "/", bad.version.str()),
               source);
    }
    m_view_changed = true;
    m_publish_now = true;
    return true;
}

void gossip_state::announce_self()
{
    node_entry& entry = m_nodes[m_options.self.id];
    entry.record = m_options.self;
    entry.sending = fresh();
    m_view_changed = true;
    // Spread at once, so that a refutation or an announced stop does not wait for the next round.
    for (int i = 0; i < m_options.push_fanout; ++i) {
        const node_entry* peer = pick_peer(i == 0);
        if (peer == nullptr)
            return;
        gossip_message message = make_header();
        message.push = true;
        m_commands.emplace_back(send_exchange{peer->record.rpc, std::move(message)});
    }
}

void gossip_state::push_facts()
{
    if (m_unpushed.empty())
        return;
    gossip_message message = make_header();
    message.push = true;
    std::size_t room = m_options.catch_up_bytes - encoded_header_size(message);
    for (const fact& value : m_unpushed) {
        const std::size_t size = encoded_size(value);
        if (size > room)
            break;
        room -= size;
        message.facts.push_back(value);
    }
    m_unpushed.clear();
    std::vector<address> chosen;
    for (int i = 0; i < m_options.push_fanout; ++i) {
        const node_entry* peer = pick_peer(i == 0);
        if (peer != nullptr && std::ranges::find(chosen, peer->record.rpc) == chosen.end())
            chosen.push_back(peer->record.rpc);
    }
    for (const address& peer : chosen)
        m_commands.emplace_back(send_exchange{peer, message});
}

void gossip_state::expire_nodes()
{
    for (auto position = m_nodes.begin(); position != m_nodes.end();) {
        node_entry& entry = position->second;
        const absl::Duration age = m_now - entry.since;
        if (entry.record.status == node_status::suspect && age >= suspicion_time()) {
            // Exchanges still arrive from it: it is slow and has yet to refute.
            if (entry.heard > entry.since)
                entry.since = m_now;
            else
                set_status(entry, node_status::dead);
        }
        if (entry.record.status != node_status::dead || age < m_options.tombstone_ttl) {
            ++position;
            continue;
        }
        std::erase_if(m_demand,
                      [&](const auto& item) { return item.first.first == position->first; });
        std::erase_if(m_outcomes,
                      [&](const auto& item) { return std::get<0>(item.first) == position->first; });
        position = m_nodes.erase(position);
        m_view_changed = true;
    }
}

void gossip_state::suspect(node_entry& entry)
{
    if (entry.record.id != m_options.self.id && !is_failing(entry.record.status))
        set_status(entry, node_status::suspect);
}

void gossip_state::set_status(node_entry& entry, node_status status)
{
    const bool came_back = is_failing(entry.record.status) && !is_failing(status);
    entry.record.status = status;
    entry.since = m_now;
    entry.sending = fresh();
    m_view_changed = true;
    const std::string& id = entry.record.id.str();
    if (status == node_status::suspect)
        report(event_id::peer_suspected, id);
    else if (status == node_status::dead)
        report(event_id::peer_dead, id);
    else if (status == node_status::leaving)
        report(event_id::peer_leaving, id);
    else if (came_back)
        report(event_id::peer_joined, id);
}

absl::Duration gossip_state::suspicion_time() const
{
    return m_options.interval * (m_options.suspicion_factor * doublings(m_nodes.size()));
}

gossip_message gossip_state::make_header() const
{
    return {.sender = m_options.self,
            .digest = m_digest,
            .known_nodes = static_cast<std::uint32_t>(m_nodes.size())};
}

gossip_message gossip_state::make_delta(const gossip_message* received, const address& peer)
{
    gossip_message out = make_header();
    const bool knows_little = received != nullptr && received->known_nodes < out.known_nodes / 2;
    out.catch_up = knows_little;
    const std::size_t limit = knows_little ? m_options.catch_up_bytes : m_options.message_bytes;
    const std::size_t header = encoded_header_size(out);
    std::size_t room = limit > header ? limit - header : 0;
    // A peer that is believed to fail or to be older learns it first, so that it can refute.
    const node_entry* about = find_by_rpc(peer);
    const bool is_wrong =
        about != nullptr &&
        (is_failing(about->record.status) ||
         (received != nullptr && received->sender.incarnation < about->record.incarnation));
    if (is_wrong) {
        out.nodes.push_back(about->record);
        room -= std::min(room, encoded_size(about->record));
    }
    if (received != nullptr)
        fill_facts(out, received->digest, room);
    if (received == nullptr || !received->push)
        fill_rest(out, room, knows_little);
    return out;
}

void gossip_state::fill_facts(gossip_message& out, const fact_digest& theirs, std::size_t& room)
{
    std::vector<fact_entry*> missing;
    for (auto& [key, entry] : m_facts)
        if (theirs[entry.bucket] != m_digest[entry.bucket])
            missing.push_back(&entry);
    std::ranges::sort(missing, [](const fact_entry* left, const fact_entry* right) {
        return std::pair(left->sending.sent, right->sending.order) <
               std::pair(right->sending.sent, left->sending.order);
    });
    for (fact_entry* entry : missing) {
        const fact value = current_fact(*entry);
        const std::size_t size = encoded_size(value);
        // One fact goes with each message even when it alone is over the budget.
        if (size > room && !out.facts.empty())
            return;
        room -= std::min(size, room);
        ++entry->sending.sent;
        out.facts.push_back(value);
    }
}

void gossip_state::fill_rest(gossip_message& out, std::size_t& room, bool everything)
{
    struct candidate
    {
        spread* sending;
        const node_record* node;
        const workspace_demand* demand;
        const outcome_report* outcome;
    };
    std::vector<candidate> all;
    all.reserve(m_nodes.size() + m_demand.size() + m_outcomes.size());
    for (auto& [id, entry] : m_nodes)
        if (id != m_options.self.id)
            all.push_back({&entry.sending, &entry.record, nullptr, nullptr});
    for (auto& [key, entry] : m_demand)
        all.push_back({&entry.sending, nullptr, &entry.value, nullptr});
    for (auto& [key, entry] : m_outcomes)
        all.push_back({&entry.sending, nullptr, nullptr, &entry.value});
    const auto less_sent = [](const candidate& left, const candidate& right) {
        return std::pair(left.sending->sent, right.sending->order) <
               std::pair(right.sending->sent, left.sending->order);
    };
    // No more than this many items fit into an ordinary message.
    constexpr std::size_t most_items = 32;
    const std::size_t considered = everything ? all.size() : std::min(all.size(), most_items);
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(considered), all.end(),
                      less_sent);
    all.resize(considered);
    const int enough = sends_per_doubling * doublings(m_nodes.size());
    int rotated = 0;
    const auto take = [&](const auto& value, auto& list) {
        const std::size_t size = encoded_size(value);
        if (size > room)
            return false;
        room -= size;
        list.push_back(value);
        return true;
    };
    for (const candidate& item : all) {
        if (item.sending->sent >= enough && !everything && ++rotated > rotated_items)
            return;
        const bool taken = item.node != nullptr     ? take(*item.node, out.nodes)
                           : item.demand != nullptr ? take(*item.demand, out.demand)
                                                    : take(*item.outcome, out.outcomes);
        if (taken)
            ++item.sending->sent;
    }
}

fact gossip_state::current_fact(const fact_entry& entry) const
{
    const auto* leaving = std::get_if<endpoint_leaving>(&entry.value);
    if (leaving == nullptr)
        return entry.value;
    return endpoint_leaving{.endpoint = leaving->endpoint,
                            .remaining = std::max(entry.reclaim_at - m_now, absl::ZeroDuration())};
}

gossip_state::node_entry* gossip_state::find_by_rpc(const address& rpc)
{
    // A replacement may have the address of a dead node.
    node_entry* found = nullptr;
    for (auto& [id, entry] : m_nodes)
        if (entry.record.rpc == rpc && id != m_options.self.id &&
            (found == nullptr || found->record.status == node_status::dead))
            found = &entry;
    return found;
}

std::vector<const gossip_state::node_entry*> gossip_state::live_peers() const
{
    std::vector<const node_entry*> out;
    for (const auto& [id, entry] : m_nodes)
        if (id != m_options.self.id && entry.record.status != node_status::dead)
            out.push_back(&entry);
    return out;
}

const gossip_state::node_entry* gossip_state::pick_peer(bool other_region)
{
    std::vector<const node_entry*> peers = live_peers();
    if (peers.empty())
        return nullptr;
    const auto wanted = std::partition(peers.begin(), peers.end(), [&](const node_entry* peer) {
        return (peer->record.region != m_options.self.region) == other_region;
    });
    const auto count = static_cast<std::size_t>(wanted - peers.begin());
    return peers[random_below(count > 0 ? count : peers.size())];
}

std::optional<address> gossip_state::pick_retry()
{
    std::vector<address> choices;
    for (const auto& [id, entry] : m_nodes)
        if (entry.record.status == node_status::dead)
            choices.push_back(entry.record.rpc);
    for (const address& seed : m_options.seeds)
        if (seed != m_options.self.rpc && find_by_rpc(seed) == nullptr)
            choices.push_back(seed);
    if (choices.empty())
        return std::nullopt;
    return choices[random_below(choices.size())];
}

// Not a standard distribution: its results differ between libraries.
std::size_t gossip_state::random_below(std::size_t bound) { return m_random() % bound; }

void gossip_state::report(event_id event, const std::string& subject, std::string source)
{
    m_commands.emplace_back(
        report_change{.event = event, .subject = subject, .source = std::move(source)});
}

std::shared_ptr<const membership_view> gossip_state::view() const
{
    auto out = std::make_shared<membership_view>();
    out->self = m_options.self.id;
    for (const auto& [id, entry] : m_nodes)
        out->nodes.push_back(entry.record);
    out->endpoints = m_registry.endpoints();
    for (const auto& [key, entry] : m_facts)
        if (const auto* bad = std::get_if<version_bad>(&entry.value))
            out->bad_versions.push_back(*bad);
    for (const auto& [key, entry] : m_demand) {
        const auto node = m_nodes.find(key.first);
        if (key.first == m_options.self.id || node == m_nodes.end() ||
            node->second.record.status == node_status::dead)
            continue;
        out->demand[key.second][key.first] = entry.value.rate;
        out->open_requests[key.second][key.first] = entry.value.open_requests;
    }
    for (const auto& [key, entry] : m_outcomes)
        if (std::get<0>(key) != m_options.self.id)
            out->outcomes.push_back(entry.value.count);
    return out;
}

} // namespace chivedeal::membership
