#ifndef CHIVEDEAL_FORWARD_ENDPOINT_WATCHER_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_WATCHER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/forward/endpoint_directory.hpp"

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
class wire_format;

/// Duty: follows the endpoints' records.
class endpoint_watcher : public duty
{
public:
    struct options
    {
        record_store& store;
        const wire_format& format;
        const clock& time;
        std::vector<node_event_listener*> listeners;
        /// Endpoints write a record each heartbeat; a poll gathers several for one call.
        absl::Duration poll_interval = absl::Milliseconds(600);
    };

    explicit endpoint_watcher(options parts);

    std::string name() const override { return "endpoint_watch"; }
    void run() override;
    void request_stop() override;

private:
    bool load();
    bool follow();
    void tell(const std::vector<node_event>& events) const;
    void note_reachable(bool reachable, const std::string& reason);

    record_store& m_store;
    const wire_format& m_format;
    const clock& m_time;
    std::vector<node_event_listener*> m_listeners;
    absl::Duration m_poll_interval;
    bounded_ring<int> m_stop;
    std::optional<std::uint64_t> m_next;
    endpoint_directory m_directory;
    bool m_loaded = false;
    bool m_reachable = true;
};

} // namespace chivedeal::forward

#endif
