#include "chivedeal/era/order_history.hpp"

#include <algorithm>

namespace chivedeal::era {

namespace {

// Orders per service that are recognised after a restoration. The copy is seconds old, so only the
// newest orders can be written again.
constexpr std::size_t max_orders = 8;

bool has_same_content(const forward::rollout_order& a, const forward::rollout_order& b)
{
    return a.service == b.service && a.target == b.target && a.duration == b.duration;
}

} // namespace

void order_history::on_restored(absl::Time now)
{
    for (auto& [key, known] : m_entries) {
        known.next_offset = 0;
        known.expected = known.orders;
    }
    m_expected_until = now + m_options.rewrite_time;
}

order_history::verdict order_history::on_order(const std::string& key,
                                               const forward::rollout_order& order, absl::Time now)
{
    entry& known = m_entries[key];
    if (known.next_offset > order.offset)
        return verdict::ignored;
    known.next_offset = order.offset + 1;
    if (now < m_expected_until) {
        const auto match = std::find_if(
            known.expected.begin(), known.expected.end(),
            [&](const forward::rollout_order& one) { return has_same_content(one, order); });
        if (match != known.expected.end()) {
            const bool is_in_force = has_same_content(order, known.orders.back());
            // Orders are written again in their sequence, so the earlier ones aren't any more.
            known.expected.erase(known.expected.begin(), match + 1);
            return is_in_force ? verdict::rewritten : verdict::ignored;
        }
    }
    known.expected.clear();
    known.orders.push_back(order);
    if (known.orders.size() > max_orders)
        known.orders.erase(known.orders.begin());
    return verdict::ordered;
}

} // namespace chivedeal::era
