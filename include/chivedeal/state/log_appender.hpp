#ifndef CHIVEDEAL_STATE_LOG_APPENDER_HPP
#define CHIVEDEAL_STATE_LOG_APPENDER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/state/append_batcher.hpp"

#include <string>

namespace chivedeal {
class clock;
}

namespace chivedeal::state {

class append_listener;
class append_queue;
class log_service;

/// Appends the queued records to the log in batches.
class log_appender : public duty
{
public:
    struct options
    {
        const clock& time;
        log_service& log;
        append_queue& queue;
        append_batcher::options limits;
        /// May be null.
        append_listener* listener = nullptr;
    };

    explicit log_appender(options wiring);

    std::string name() const override { return "log_appender"; }
    void run() override;
    void request_stop() override;

private:
    void take_records();
    bool append(const append_batcher::batch& batch);

    options m_options;
    append_batcher m_batcher;
    bounded_ring<bool> m_stop{1};
};

} // namespace chivedeal::state

#endif
