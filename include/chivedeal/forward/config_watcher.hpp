#ifndef CHIVEDEAL_FORWARD_CONFIG_WATCHER_HPP
#define CHIVEDEAL_FORWARD_CONFIG_WATCHER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/era/answer_check.hpp"
#include "chivedeal/era/epoch_register.hpp"
#include "chivedeal/era/order_history.hpp"
#include "chivedeal/forward/batch_listener.hpp"
#include "chivedeal/forward/operator_record.hpp"
#include "chivedeal/forward/reachability_log.hpp"
#include "chivedeal/forward/read_pace.hpp"
#include "chivedeal/forward/relayed_batch.hpp"
#include "chivedeal/forward/topic_tail.hpp"
#include "chivedeal/regions/evacuation_log.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivedeal {
class clock;
}

namespace chivedeal::forward {

class node_event_listener;
class record_store;
class batch_sender;
class wire_format;
struct record_batch;

/// Duty: follows the operator's records. Listeners never receive a configuration version that isn't
/// newer than the one in force.
class config_watcher : public duty, public batch_listener
{
public:
    struct options
    {
        node_id self;
        record_store& store;
        const wire_format& format;
        const clock& time;
        batch_sender& peers;
        std::vector<node_event_listener*> listeners;
        read_pace pace = read_pace_for(absl::ZeroDuration());
        /// Epochs of the store that the node's other duties learned of.
        era::epoch_register* epochs = nullptr;
    };

    explicit config_watcher(options parts);

    std::string name() const override { return "config_watcher"; }
    void run() override;
    void request_stop() override;

    void on_relay(const relayed_batch& batch) override { (void)m_relayed_batches.try_push(batch); }

private:
    void apply_relayed_batches(absl::Time until);
    bool read_snapshot();
    bool read_changes();
    std::optional<operator_record> decode(const stored_record& record) const;
    void apply_snapshot(const record_batch& batch);
    // Starts anew if the store was restored. Returns how the newest answer relates to the position
    // that it was requested for.
    era::answer_kind follow_epoch();
    void apply(const record_batch& batch);
    void apply(const stored_record& record);
    void apply(const stored_record& record, operator_record value);
    void report_evacuations() const;

    record_store& m_store;
    const wire_format& m_format;
    const clock& m_time;
    batch_sender& m_peers;
    node_id m_self;
    std::vector<node_event_listener*> m_listeners;
    // Closed to stop the duty.
    bounded_ring<relayed_batch> m_relayed_batches;
    const absl::Duration m_read_wait;
    topic_tail m_tail;
    std::int64_t m_applied_version = -1;
    regions::evacuation_log m_evacuations;
    era::epoch_register m_own_epochs;
    era::epoch_register& m_epochs;
    era::order_history m_orders;
    reachability_log m_reachability{"configuration"};
};

} // namespace chivedeal::forward

#endif
