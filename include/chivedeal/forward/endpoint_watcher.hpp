#ifndef CHIVEDEAL_FORWARD_ENDPOINT_WATCHER_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_WATCHER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/era/answer_check.hpp"
#include "chivedeal/era/epoch_register.hpp"
#include "chivedeal/forward/batch_listener.hpp"
#include "chivedeal/forward/endpoint_directory.hpp"
#include "chivedeal/forward/reachability_log.hpp"
#include "chivedeal/forward/relayed_batch.hpp"
#include "chivedeal/forward/topic_tail.hpp"

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
struct record_batch;
class wire_format;

/// Duty: follows the records that endpoints write, and relays changes to peers.
class endpoint_watcher : public duty, public batch_listener
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
        /// Endpoints write a record with each heartbeat; polling at intervals reads several records
        /// in one call.
        absl::Duration poll_interval = absl::Milliseconds(600);
        /// Epochs of the store that the node's other duties learned of.
        era::epoch_register* epochs = nullptr;
    };

    explicit endpoint_watcher(options parts);

    std::string name() const override { return "endpoint_watch"; }
    void run() override;
    void request_stop() override;

    void on_relay(const relayed_batch& batch) override { (void)m_relayed_batches.try_push(batch); }

private:
    bool read_snapshot();
    bool read_changes();
    // Starts anew if the store was restored. Returns how the newest answer relates to the position
    // that it was requested for.
    era::answer_kind follow_epoch();
    void on_store_unreachable(const std::string& reason);
    void on_store_reachable();
    // Applies the records and relays those that contain changes to peers.
    void apply_and_relay(const record_batch& batch, std::uint64_t begin);
    // Logs a record that can't be decoded and returns nothing.
    std::optional<endpoint_record> decode(const stored_record& record) const;
    // Returns whether the record has to be relayed to peers.
    bool apply(const stored_record& record);
    void notify_listeners(const std::vector<node_event>& events) const;

    record_store& m_store;
    const wire_format& m_format;
    const clock& m_time;
    batch_sender& m_peers;
    node_id m_self;
    std::vector<node_event_listener*> m_listeners;
    absl::Duration m_poll_interval;
    // Closed to stop the duty.
    bounded_ring<relayed_batch> m_relayed_batches;
    topic_tail m_tail;
    endpoint_directory m_directory;
    era::epoch_register m_own_epochs;
    era::epoch_register& m_epochs;
    bool m_loaded = false;
    // This node's last read failed, and no relayed batch was applied since.
    bool m_store_unreachable = false;
    reachability_log m_reachability{"endpoints"};
};

} // namespace chivedeal::forward

#endif
