#ifndef CHIVEDEAL_MEMBERSHIP_INSTANCE_WATCHER_HPP
#define CHIVEDEAL_MEMBERSHIP_INSTANCE_WATCHER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace chivedeal::membership {

class gossip_inbox;
class instance_source;

/// Thread that polls the platform's instance list and reclaim notices for gossip. During an outage
/// the last list stays in force.
class instance_watcher : public duty
{
public:
    struct options
    {
        instance_source& source;
        gossip_inbox& inbox;
        absl::Duration interval = absl::Milliseconds(500);
    };

    explicit instance_watcher(options wiring);

    std::string name() const override { return "instance_watcher"; }
    void run() override;
    void request_stop() override;

private:
    void poll();
    void report_reachable(bool reachable, const std::string& reason);

    options m_options;
    bounded_ring<int> m_stop{1};
    std::uint64_t m_last_notice = 0;
    bool m_reachable = true;
};

} // namespace chivedeal::membership

#endif
