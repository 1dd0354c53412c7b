#ifndef CHIVEDEAL_MEMBERSHIP_GOSSIP_STATE_HPP
#define CHIVEDEAL_MEMBERSHIP_GOSSIP_STATE_HPP

#include "chivedeal/membership/endpoint_registry.hpp"
#include "chivedeal/membership/gossip_command.hpp"
#include "chivedeal/membership/gossip_event.hpp"
#include "chivedeal/membership/gossip_options.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace chivedeal::membership {

struct membership_view;

/// Decides what a node says to which peer and what it believes of nodes, endpoints and versions.
///
/// A peer whose exchange fails is probed directly and through others, then suspected, and dead
/// only when it did not refute with a higher incarnation in time. Another node's verdict "dead" on
/// a node that is alive here begins a suspicion, so that a healed partition kills no live node.
///
///     gossip_state state({.self = record, .seeds = {seed}, .random_seed = 1});
///     for (const gossip_command& command : state.handle(gossip_tick{}, now))
///         execute(command);
class gossip_state
{
public:
    explicit gossip_state(gossip_options options);
    ~gossip_state();
    gossip_state(const gossip_state&) = delete;
    gossip_state& operator=(const gossip_state&) = delete;

    std::vector<gossip_command> handle(const gossip_event& event, absl::Time now);

    std::shared_ptr<const membership_view> view() const;
    const node_record& self() const { return m_options.self; }
    std::size_t fact_count() const { return m_facts.size(); }

private:
    // How often the newest value of an item was sent, and when it became known.
    struct spread
    {
        int sent = 0;
        std::uint64_t order = 0;
    };

    struct node_entry
    {
        node_record record;
        spread sending;
        absl::Time heard = absl::InfinitePast();
        absl::Time since = absl::InfinitePast();
    };

    struct fact_entry
    {
        fact value;
        std::size_t bucket = 0;
        absl::Time reclaim_at = absl::InfiniteFuture();
        spread sending;
    };

    template<class T>
    struct report_entry
    {
        T value;
        spread sending;
    };

    struct pending_probe
    {
        int open = 0;
        absl::Time began;
    };

    using demand_key = std::pair<node_id, workspace_id>;
    using outcome_key =
        std::tuple<node_id, service_id, version_id, std::uint64_t, std::string, int>;

    void on(const gossip_tick& event);
    void on(const exchange_received& event);
    void on(const exchange_answered& event);
    void on(const exchange_failed& event);
    void on(const probe_finished& event);
    void on(const local_fact& event);
    void on(const local_demand& event);
    void on(const local_outcomes& event);
    void on(const local_leaving& event);
    void on(const local_ready& event);
    void on(const local_offset& event);
    void on(const instances_listed& event);
    void on(const local_change& /*event*/) {}

    void merge(const gossip_message& message);
    void merge_sender(const node_record& sender);
    void merge_node(const node_record& incoming);
    void merge_self(const node_record& incoming);
    void add_node(const node_record& incoming);
    void merge_demand(const workspace_demand& incoming);
    void merge_outcome(const outcome_report& incoming);
    bool add_fact(const fact& value, const std::string& source);
    void announce_self();
    void push_facts();

    void expire_nodes();
    void suspect(node_entry& entry);
    void set_status(node_entry& entry, node_status status);
    absl::Duration suspicion_time() const;

    gossip_message make_header() const;
    gossip_message make_delta(const gossip_message* received, const address& peer);
    void fill_facts(gossip_message& out, const fact_digest& theirs, std::size_t& room);
    void fill_rest(gossip_message& out, std::size_t& room, bool everything);
    fact current_fact(const fact_entry& entry) const;

    node_entry* find_by_rpc(const address& rpc);
    std::vector<const node_entry*> live_peers() const;
    const node_entry* pick_peer(bool other_region);
    std::optional<address> pick_retry();
    std::size_t random_below(std::size_t bound);
    template<class T>
    void renew(report_entry<T>& entry)
    {
        entry.value.sequence = ++m_sequence;
        entry.sending = fresh();
    }
    spread fresh() { return {.sent = 0, .order = ++m_order}; }
    void report(event_id event, const std::string& subject, std::string source = "");

    gossip_options m_options;
    std::mt19937_64 m_random;
    absl::Time m_now = absl::InfinitePast();
    std::uint64_t m_ticks = 0;
    std::uint64_t m_order = 0;
    std::uint64_t m_sequence = 0;
    std::map<node_id, node_entry> m_nodes;
    std::map<std::string, fact_entry> m_facts;
    std::vector<fact> m_unpushed;
    fact_digest m_digest{};
    std::map<demand_key, report_entry<workspace_demand>> m_demand;
    std::map<outcome_key, report_entry<outcome_report>> m_outcomes;
    std::map<node_id, pending_probe> m_probes;
    endpoint_registry m_registry;
    std::vector<gossip_command> m_commands;
    bool m_view_changed = true;
    bool m_publish_now = false;
};

} // namespace chivedeal::membership

#endif
