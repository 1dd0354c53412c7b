#ifndef CHIVEDEAL_ERA_ORDER_HISTORY_HPP
#define CHIVEDEAL_ERA_ORDER_HISTORY_HPP

#include "chivedeal/forward/rollout_order.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chivedeal::era {

/// Decides what a roll-out order read from the store means, also when the store was restored and
/// the operator writes orders again that this node already follows.
class order_history
{
public:
    struct options
    {
        /// Time after a restoration during which an order with the content of an earlier one is
        /// taken for the earlier one, written again. The operator does so within about two seconds;
        /// a node on a busy machine may read it later.
        absl::Duration rewrite_time = absl::Seconds(10);
    };

    enum class verdict
    {
        /// The order is new and takes effect.
        ordered,
        /// The order in force, at a new offset. Its progress is kept.
        rewritten,
        /// The order was already read, or was replaced before the restoration.
        ignored,
    };

    order_history() : order_history(options{}) {}
    explicit order_history(options settings) : m_options(settings) {}

    /// The store was restored: offsets of earlier orders are no longer valid.
    void on_restored(absl::Time now);

    /// `order` was read with its offset in the current epoch.
    verdict on_order(const std::string& key, const forward::rollout_order& order, absl::Time now);

private:
    struct entry
    {
        // One past the offset of the newest order in this epoch; 0 if none was read.
        std::uint64_t next_offset = 0;
        // Distinct orders in the sequence in which they took effect. The last one is in force.
        std::vector<forward::rollout_order> orders;
        // Those of `orders` that may be read again, in the same sequence.
        std::vector<forward::rollout_order> expected;
    };

    options m_options;
    std::map<std::string, entry> m_entries;
    absl::Time m_expected_until = absl::InfinitePast();
};

} // namespace chivedeal::era

#endif
