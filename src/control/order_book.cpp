#include "chivedeal/control/order_book.hpp"

#include "chivedeal/core/mechanism.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace chivedeal::control {

// Applies one event to the book and collects the resulting commands.
class order_book::handler
{
public:
    handler(order_book& book, absl::Time now) : m_book(book), m_now(now) {}

    void operator()(const start_requested& event);
    void operator()(const stop_requested& event);
    void operator()(const load_change_requested& event);
    void operator()(const start_refused& event) { m_book.m_starts.erase(event.token); }
    void operator()(const start_confirmed& event);
    void operator()(const instances_listed& event);
    void operator()(const loaded_versions_read& event);
    void operator()(const stale_fence_reported& event);
    void operator()(const order_tick& event);

    std::vector<order_command> take_commands() { return std::move(m_commands); }

private:
    client_token next_token();
    bool schedule_retry_if_due(absl::Time& retry_at) const;

    order_book& m_book;
    absl::Time m_now;
    std::vector<order_command> m_commands;
};

void order_book::handler::operator()(const start_requested& event)
{
    const client_token token = next_token();
    m_book.m_starts[token].order = {
        .token = token, .pool = event.pool, .service = event.service, .version = event.version};
}

void order_book::handler::operator()(const stop_requested& event)
{
    if (!event.drain_confirmed || m_book.m_stops.contains(event.instance))
        return;
    m_book.m_stops[event.instance].order = {.token = next_token(), .instance = event.instance};
}

void order_book::handler::operator()(const load_change_requested& event)
{
    if (!event.loaded && !event.drain_confirmed)
        return;
    load_entry& entry = m_book.m_loads[{event.endpoint, event.version}];
    if (entry.loaded != event.loaded)
        entry.retry_at = absl::InfinitePast();
    entry.loaded = event.loaded;
    entry.model = event.model;
    entry.adapter = event.adapter;
}

void order_book::handler::operator()(const start_confirmed& event)
{
    const auto pending_start = m_book.m_starts.find(event.token);
    if (pending_start == m_book.m_starts.end())
        return;
    pending_start->second.instance = event.instance;
    pending_start->second.retry_at = absl::InfiniteFuture();
    pending_start->second.expires_at = m_now + m_book.m_options.boot_timeout;
}

void order_book::handler::operator()(const instances_listed& event)
{
    std::set<instance_id> listed_instances;
    std::map<std::string, instance_id> by_token;
    for (const auto& entry : event.entries) {
        listed_instances.insert(entry.instance);
        by_token[entry.token] = entry.instance;
    }
    std::erase_if(m_book.m_starts, [&](const auto& entry) {
        const auto listed_instance = by_token.find(to_string(entry.first));
        if (listed_instance == by_token.end())
            return false;
        m_book.m_listed_starts.push_back(
            {.start = {.order = entry.second.order, .instance = listed_instance->second},
             .expires_at = m_now + m_book.m_options.boot_timeout});
        return true;
    });
    std::erase_if(m_book.m_stops,
                  [&](const auto& entry) { return !listed_instances.contains(entry.first); });
}

// A matching entry is kept, so that an engine that restarts without the version gets the order
// again.
void order_book::handler::operator()(const loaded_versions_read& event)
{
    for (auto& [key, entry] : m_book.m_loads) {
        if (key.first != event.endpoint)
            continue;
        const bool loaded = std::find(event.versions.begin(), event.versions.end(), key.second) !=
                            event.versions.end();
        if (loaded == entry.loaded)
            entry.retry_at = absl::InfiniteFuture();
        else if (entry.retry_at == absl::InfiniteFuture())
            entry.retry_at = m_now;
    }
}

void order_book::handler::operator()(const stale_fence_reported& /*event*/)
{
    if (!is_enabled(mechanism::lease_fencing) || m_book.m_gave_up)
        return;
    m_book.m_gave_up = true;
    m_commands.emplace_back(give_up_tenure{});
}

void order_book::handler::operator()(const order_tick& /*event*/)
{
    const options& settings = m_book.m_options;
    std::erase_if(m_book.m_starts,
                  [&](const auto& entry) { return m_now >= entry.second.expires_at; });
    std::erase_if(m_book.m_listed_starts,
                  [&](const auto& entry) { return m_now >= entry.expires_at; });
    if (m_book.m_gave_up || (!settings.endpoints_check_fencing &&
                             m_now < settings.lease.acquired_at + settings.max_order_delay))
        return;
    for (auto& [token, entry] : m_book.m_starts)
        if (schedule_retry_if_due(entry.retry_at))
            m_commands.emplace_back(entry.order);
    for (auto& [instance, entry] : m_book.m_stops)
        if (schedule_retry_if_due(entry.retry_at))
            m_commands.emplace_back(entry.order);
    for (auto& [key, entry] : m_book.m_loads)
        if (schedule_retry_if_due(entry.retry_at))
            m_commands.emplace_back(order_load{.endpoint = key.first,
                                               .version = key.second,
                                               .model = entry.model,
                                               .adapter = entry.adapter,
                                               .loaded = entry.loaded,
                                               .fence = settings.lease.fencing_token});
}

client_token order_book::handler::next_token()
{
    return {.scope = m_book.m_options.lease.scope,
            .grant = m_book.m_options.lease.first_grant_offset,
            .slot = m_book.m_next_slot++};
}

bool order_book::handler::schedule_retry_if_due(absl::Time& retry_at) const
{
    if (m_now < retry_at)
        return false;
    retry_at = m_now + m_book.m_options.retry_interval;
    return true;
}

std::vector<order_command> order_book::handle(const order_event& event, absl::Time now)
{
    handler visitor(*this, now);
    std::visit(visitor, event);
    return visitor.take_commands();
}

std::vector<order_start> order_book::unlisted_starts() const
{
    std::vector<order_start> out;
    for (const auto& [token, entry] : m_starts)
        out.push_back(entry.order);
    return out;
}

std::vector<listed_start> order_book::listed_starts() const
{
    std::vector<listed_start> out;
    for (const listed_entry& entry : m_listed_starts)
        out.push_back(entry.start);
    return out;
}

std::set<endpoint_id> order_book::endpoints_with_orders() const
{
    std::set<endpoint_id> out;
    for (const auto& [key, entry] : m_loads)
        out.insert(key.first);
    return out;
}

} // namespace chivedeal::control
