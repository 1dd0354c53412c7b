#include "chivedeal/membership/gossip_inbox.hpp"

#include "chivedeal/core/clock.hpp"

#include <algorithm>
#include <utility>

namespace chivedeal::membership {

namespace {

bool is_same_fact(const fact& left, const fact& right)
{
    const auto* one = std::get_if<endpoint_leaving>(&left);
    const auto* other = std::get_if<endpoint_leaving>(&right);
    if (one == nullptr || other == nullptr)
        return left == right;
    // The time left shrinks with each report of the same reclaim.
    return one->endpoint == other->endpoint && (one->remaining == absl::InfiniteDuration()) ==
                                                   (other->remaining == absl::InfiniteDuration());
}

} // namespace

gossip_inbox::gossip_inbox(const clock& time, std::size_t capacity)
    : m_clock(time), m_ring(capacity)
{}

void gossip_inbox::publish_fact(const fact& value) { publish_fact(value, "local"); }

void gossip_inbox::publish_fact(const fact& value, std::string source)
{
    {
        const std::lock_guard<mutex> lock(m_mutex);
        const bool known = std::ranges::any_of(m_facts, [&](const timed_fact& item) {
            return is_same_fact(item.published.value, value);
        });
        if (known)
            return;
        m_facts.push_back({{value, std::move(source)}, m_clock.now()});
    }
    wake();
}

void gossip_inbox::publish_demand(const std::map<workspace_id, double>& demand,
                                  const std::map<workspace_id, int>& open_requests)
{
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_demand = {demand, open_requests};
        m_values_changed = true;
    }
    wake();
}

void gossip_inbox::publish_outcomes(const std::vector<outcome_count>& counts)
{
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_outcomes = {counts};
        m_values_changed = true;
    }
    wake();
}

void gossip_inbox::publish_leaving()
{
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_leaving = true;
        m_values_changed = true;
    }
    wake();
}

void gossip_inbox::publish_instances(std::vector<endpoint> list)
{
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_instances = {std::move(list)};
        m_list_changed = true;
    }
    wake();
}

void gossip_inbox::publish_offset(std::uint64_t applied)
{
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_applied = std::max(m_applied, applied);
        m_values_changed = true;
    }
    wake();
}

void gossip_inbox::publish_ready()
{
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_ready = true;
        m_values_changed = true;
    }
    wake();
}

std::vector<gossip_event> gossip_inbox::take_local()
{
    const std::lock_guard<mutex> lock(m_mutex);
    std::vector<gossip_event> out;
    for (; m_facts_taken < m_facts.size(); ++m_facts_taken) {
        const timed_fact& item = m_facts[m_facts_taken];
        local_fact event = item.published;
        if (auto* leaving = std::get_if<endpoint_leaving>(&event.value))
            leaving->remaining -= m_clock.now() - item.at;
        out.emplace_back(std::move(event));
    }
    if (m_list_changed && m_instances)
        out.emplace_back(*m_instances);
    m_list_changed = false;
    if (!m_values_changed)
        return out;
    m_values_changed = false;
    if (m_demand)
        out.emplace_back(*m_demand);
    if (m_outcomes)
        out.emplace_back(*m_outcomes);
    if (m_applied > 0)
        out.emplace_back(local_offset{m_applied});
    if (m_ready)
        out.emplace_back(local_ready{});
    if (m_leaving)
        out.emplace_back(local_leaving{});
    return out;
}

void gossip_inbox::replay()
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_facts_taken = 0;
    m_values_changed = true;
    m_list_changed = true;
}

// With a full ring the thread is busy and looks at the local values before its next event anyway.
void gossip_inbox::wake() { (void)m_ring.try_push(local_change{}); }

} // namespace chivedeal::membership
