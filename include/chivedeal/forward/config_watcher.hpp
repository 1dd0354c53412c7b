#ifndef CHIVEDEAL_FORWARD_CONFIG_WATCHER_HPP
#define CHIVEDEAL_FORWARD_CONFIG_WATCHER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/forward/reachability_log.hpp"
#include "chivedeal/forward/relay_listener.hpp"
#include "chivedeal/forward/relayed_batch.hpp"
#include "chivedeal/forward/topic_tail.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chivedeal {
class clock;
}

namespace chivedeal::forward {

class node_event_listener;
class record_store;
class relay_port;
class wire_format;
struct record_batch;

/// Duty: follows the operator's records. A version that isn't newer is never passed on.
class config_watcher : public duty, public relay_listener
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
    };

    explicit config_watcher(options parts);

    std::string name() const override { return "config_watcher"; }
    void run() override;
    void request_stop() override;

    void on_relay(const relayed_batch& batch) override { (void)m_relays.try_push(batch); }

private:
    void take_relays(absl::Time until);
    bool load();
    bool follow();
    void take(const record_batch& batch);
    void take(const stored_record& record);

    record_store& m_store;
    const wire_format& m_format;
    const clock& m_time;
    relay_port& m_peers;
    node_id m_self;
    std::vector<node_event_listener*> m_listeners;
    // Closed to stop.
    bounded_ring<relayed_batch> m_relays;
    topic_tail m_tail;
    std::int64_t m_version = -1;
    // The newest order of each service; one past its record's offset.
    std::map<std::string, std::uint64_t> m_rollouts;
    reachability_log m_reachability{"configuration"};
};

} // namespace chivedeal::forward

#endif
