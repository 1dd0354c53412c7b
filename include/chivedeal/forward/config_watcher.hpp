#ifndef CHIVEDEAL_FORWARD_CONFIG_WATCHER_HPP
#define CHIVEDEAL_FORWARD_CONFIG_WATCHER_HPP

#include "chivedeal/core/duty.hpp"
#include "chivedeal/core/bounded_ring.hpp"

#include <cstdint>
#include <map>
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
struct record_batch;
struct stored_record;

/// Duty: follows the operator's records. A version that isn't newer is never passed on.
class config_watcher : public duty
{
public:
    struct options
    {
        record_store& store;
        const wire_format& format;
        std::vector<node_event_listener*> listeners;
    };

    explicit config_watcher(options parts);

    std::string name() const override { return "config_watcher"; }
    void run() override;
    void request_stop() override;

private:
    bool load();
    bool follow();
    void take(const record_batch& batch);
    void take(const stored_record& record);
    void note_reachable(bool reachable, const std::string& reason);

    record_store& m_store;
    const wire_format& m_format;
    std::vector<node_event_listener*> m_listeners;
    // Closed to stop; a pop on it is a sleep that a stop ends.
    bounded_ring<int> m_stop;
    std::optional<std::uint64_t> m_next;
    std::int64_t m_version = -1;
    std::map<std::string, std::uint64_t> m_rollouts;
    bool m_reachable = true;
};

} // namespace chivedeal::forward

#endif
