#ifndef CHIVEDEAL_STATE_LOG_READER_HPP
#define CHIVEDEAL_STATE_LOG_READER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/state/keeper_event.hpp"

#include "absl/time/time.h"

#include <string>

namespace chivedeal::state {

class log_position;
class log_service;

/// Reads one stream of the log by long polling and passes the batches to the state keeper.
class log_reader : public duty
{
public:
    struct options
    {
        std::string stream;
        log_service& log;
        const log_position& position;
        bounded_ring<keeper_event>& keeper_inbox;
        absl::Duration poll_wait = absl::Seconds(10);
        /// Delay before retrying a failed read.
        absl::Duration retry_delay = absl::Milliseconds(500);
        int max_records = 1000;
    };

    explicit log_reader(options wiring);

    std::string name() const override;
    void run() override;
    void request_stop() override;

private:
    options m_options;
    bounded_ring<bool> m_stop{1};
};

} // namespace chivedeal::state

#endif
