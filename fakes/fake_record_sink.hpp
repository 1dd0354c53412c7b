#ifndef FAKES_FAKE_RECORD_SINK_HPP
#define FAKES_FAKE_RECORD_SINK_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/state/record.hpp"
#include "chivedeal/state/record_sink.hpp"

#include <utility>

namespace chivedeal::fakes {

/// Stores appended records in a ring that a test reads.
class fake_record_sink : public state::record_sink
{
public:
    status append(state::record entry) override
    {
        if (!m_records.try_push(std::move(entry)))
            return error{.code = result_code::ring_full,
                         .message = "the ring is full; the test has to read the records"};
        return ok_status();
    }

    bounded_ring<state::record> m_records{64};
};

} // namespace chivedeal::fakes

#endif
