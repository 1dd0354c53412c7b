#ifndef CHIVEDEAL_STATE_SNAPSHOT_WRITER_HPP
#define CHIVEDEAL_STATE_SNAPSHOT_WRITER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/state/snapshot_policy.hpp"

#include <string>

namespace chivedeal {
class clock;
}

namespace chivedeal::state {

class published_state;
class record_sink;

/// Appends snapshots to the log while this node holds the lease `snapshots`.
class snapshot_writer : public duty
{
public:
    struct options
    {
        const clock& time;
        node_id self;
        published_state& published;
        record_sink& sink;
        snapshot_policy::options limits;
        absl::Duration check_interval = absl::Seconds(1);
    };

    static constexpr const char* lease_scope = "snapshots";

    explicit snapshot_writer(options wiring);

    std::string name() const override { return "snapshot_writer"; }
    void run() override;
    void request_stop() override;

private:
    bool holds_lease() const;
    void write();

    options m_options;
    snapshot_policy m_policy;
    bool m_requested = false;
    bounded_ring<bool> m_stop{1};
};

} // namespace chivedeal::state

#endif
