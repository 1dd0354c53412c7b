#ifndef CHIVEDEAL_FORWARD_ENDPOINT_WATCHER_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_WATCHER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/forward/endpoint_directory.hpp"
#include "chivedeal/forward/reachability_log.hpp"
#include "chivedeal/forward/relay_listener.hpp"
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
class relay_port;
struct record_batch;
class wire_format;

/// Duty: follows the endpoints' records.
class endpoint_watcher : public duty, public relay_listener
{
public:
    struct options
    {
        node_id self;
        record_store& store;
        const wire_format& format;
        const clock& time;
        relay_port& peers;
        std::vector<node_event_listener*> listeners;
        /// Endpoints write a record each heartbeat; a poll gathers several for one call.
        absl::Duration poll_interval = absl::Milliseconds(600);
    };

    explicit endpoint_watcher(options parts);

    std::string name() const override { return "endpoint_watch"; }
    void run() override;
    void request_stop() override;

    void on_relay(const relayed_batch& batch) override { (void)m_relays.try_push(batch); }

private:
    bool load();
    bool follow();
    void note_failed(const std::string& reason);
    void note_reached();
    // Takes what was read, and tells peers the news in it.
    void relay(const record_batch& batch, std::uint64_t begin);
    // Logs a record that can't be read.
    std::optional<endpoint_record> decode(const stored_record& record) const;
    // Returns whether the record is news to peers.
    bool take(const stored_record& record);
    void tell(const std::vector<node_event>& events) const;

    record_store& m_store;
    const wire_format& m_format;
    const clock& m_time;
    relay_port& m_peers;
    node_id m_self;
    std::vector<node_event_listener*> m_listeners;
    absl::Duration m_poll_interval;
    // Closed to stop.
    bounded_ring<relayed_batch> m_relays;
    topic_tail m_tail;
    endpoint_directory m_directory;
    bool m_loaded = false;
    // The last own read failed.
    bool m_failing = false;
    reachability_log m_reachability{"endpoints"};
};

} // namespace chivedeal::forward

#endif
