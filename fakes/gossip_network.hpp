#ifndef FAKES_GOSSIP_NETWORK_HPP
#define FAKES_GOSSIP_NETWORK_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/membership/gossip_state.hpp"
#include "chivedeal/membership/membership_view.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace chivedeal::fakes {

/// Gossip states joined by a simulated network in virtual time, with loss, delay, reordering,
/// pauses and partitions.
class gossip_network
{
public:
    struct options
    {
        std::size_t nodes = 3;
        std::size_t regions = 3;
        std::uint64_t seed = 1;
        double loss = 0;
        absl::Duration max_delay = absl::Milliseconds(12);
        absl::Duration timeout = absl::Milliseconds(500);
        /// Called for each message sent, such as to count encoded bytes.
        std::function<void(std::size_t, const membership::gossip_message&)> observe = {};
    };

    explicit gossip_network(options wanted) : m_options(std::move(wanted)), m_random(m_options.seed)
    {
        for (std::size_t i = 0; i < m_options.nodes; ++i) {
            m_states.push_back(std::make_unique<membership::gossip_state>(
                membership::gossip_options{.self = record_of(i),
                                           .seeds = {record_of(0).rpc, record_of(1).rpc},
                                           .random_seed = m_options.seed * 1000 + i}));
            m_paused.push_back(false);
            m_side.push_back(0);
            m_held.emplace_back();
            // Nodes do not tick in step.
            const absl::Duration phase =
                absl::Seconds(1) * (static_cast<double>(m_random() % 1000) / 1000);
            at(phase, [this, i] { tick(i); });
        }
    }

    membership::node_record record_of(std::size_t i) const
    {
        const auto port = static_cast<std::uint16_t>(7000 + i);
        return {.id = node_id(absl::StrCat("node-", i)),
                .http = {.host = absl::StrCat("10.0.", i / 250, ".", i % 250), .port = 8080},
                .rpc = {.host = absl::StrCat("10.0.", i / 250, ".", i % 250), .port = port},
                .region = region_id(absl::StrCat("region-", i % m_options.regions)),
                .zone = zone_id(absl::StrCat("zone-", i % m_options.regions, "-a")),
                .incarnation = 1};
    }

    void run_for(absl::Duration span)
    {
        const absl::Time end = m_now + span;
        while (!m_queue.empty() && m_queue.begin()->first <= end) {
            auto first = m_queue.extract(m_queue.begin());
            m_now = first.key();
            first.mapped()();
        }
        m_now = end;
    }

    void deliver(std::size_t node, const membership::gossip_event& event)
    {
        // A paused process gets what was queued for it when it runs again.
        if (m_paused[node]) {
            m_held[node].push_back(event);
            return;
        }
        execute(node, m_states[node]->handle(event, m_now));
    }

    void pause(std::size_t node) { m_paused[node] = true; }

    void resume(std::size_t node)
    {
        m_paused[node] = false;
        auto held = std::move(m_held[node]);
        m_held[node].clear();
        for (const auto& event : held)
            deliver(node, event);
    }

    /// Nodes on different sides do not reach each other.
    void set_side(std::size_t node, int side) { m_side[node] = side; }

    /// Ends loss, partitions and delays longer than those between regions.
    void heal()
    {
        m_options.loss = 0;
        m_options.max_delay = std::min(m_options.max_delay, absl::Milliseconds(12));
        m_side.assign(size(), 0);
    }

    std::size_t size() const { return m_states.size(); }
    absl::Time now() const { return m_now; }
    const membership::gossip_state& state(std::size_t node) const { return *m_states[node]; }

private:
    void at(absl::Duration after, std::function<void()> action)
    {
        m_queue.emplace(m_now + after, std::move(action));
    }

    void tick(std::size_t node)
    {
        at(absl::Seconds(1), [this, node] { tick(node); });
        if (!m_paused[node])
            deliver(node, membership::gossip_tick{});
    }

    absl::Duration delay()
    {
        return m_options.max_delay * (static_cast<double>(m_random() % 1000 + 1) / 1000);
    }

    bool is_lost(std::size_t from, std::size_t to)
    {
        return to >= size() || m_side[from] != m_side[to] ||
               static_cast<double>(m_random() % 10000) < m_options.loss * 10000;
    }

    std::size_t index_of(const address& rpc) const
    {
        return static_cast<std::size_t>(rpc.port) - 7000;
    }

    void execute(std::size_t node, const std::vector<membership::gossip_command>& commands)
    {
        for (const auto& command : commands) {
            if (const auto* exchange = std::get_if<membership::send_exchange>(&command))
                send(node, *exchange);
            else if (const auto* answer = std::get_if<membership::answer_exchange>(&command))
                answer_to(node, *answer);
            else if (const auto* probe = std::get_if<membership::send_probe>(&command))
                send(node, *probe);
        }
    }

    void send(std::size_t node, const membership::send_exchange& exchange)
    {
        if (m_options.observe)
            m_options.observe(node, exchange.message);
        const std::uint64_t call = ++m_calls;
        m_open[call] = node;
        at(m_options.timeout, [this, node, call, peer = exchange.peer] {
            if (m_open.erase(call) > 0)
                deliver(node, membership::exchange_failed{peer});
        });
        const std::size_t to = index_of(exchange.peer);
        if (is_lost(node, to))
            return;
        at(delay(), [this, to, call, message = exchange.message] {
            deliver(to, membership::exchange_received{message, call});
        });
    }

    void answer_to(std::size_t node, const membership::answer_exchange& answer)
    {
        if (m_options.observe)
            m_options.observe(node, answer.message);
        const auto open = m_open.find(answer.reply);
        if (open == m_open.end() || is_lost(node, open->second))
            return;
        at(delay(), [this, call = answer.reply, message = answer.message] {
            const auto waiting = m_open.find(call);
            if (waiting == m_open.end())
                return;
            const std::size_t to = waiting->second;
            m_open.erase(waiting);
            deliver(to, membership::exchange_answered{message});
        });
    }

    void send(std::size_t node, const membership::send_probe& probe)
    {
        const std::size_t via = index_of(probe.via);
        const std::size_t target = index_of(probe.target_address);
        const bool reached = !is_lost(node, via) && !m_paused[via] && !is_lost(via, target) &&
                             !m_paused[target] && !is_lost(target, via) && !is_lost(via, node);
        at(reached ? 4 * delay() : m_options.timeout, [this, node, id = probe.target, reached] {
            deliver(node, membership::probe_finished{id, reached});
        });
    }

    options m_options;
    std::mt19937_64 m_random;
    absl::Time m_now = absl::FromUnixSeconds(1'000'000);
    std::vector<std::unique_ptr<membership::gossip_state>> m_states;
    std::vector<bool> m_paused;
    std::vector<int> m_side;
    std::vector<std::vector<membership::gossip_event>> m_held;
    std::multimap<absl::Time, std::function<void()>> m_queue;
    std::map<std::uint64_t, std::size_t> m_open;
    std::uint64_t m_calls = 0;
};

} // namespace chivedeal::fakes

#endif
