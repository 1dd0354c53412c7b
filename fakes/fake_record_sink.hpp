#ifndef FAKES_FAKE_RECORD_SINK_HPP
#define FAKES_FAKE_RECORD_SINK_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/state/record.hpp"
#include "chivedeal/state/record_sink.hpp"

#include <utility>

namespace chivedeal::fakes {

/// Keeps the records on a ring, from which a test takes them.
class fake_record_sink : public state::record_sink
{
public:
    status append(state::record entry) override
    {
        if (!m_records.try_push(std::move(entry)))
            return error{.code = result_code::ring_full, .message = "the test takes no records"};
        return ok_status();
    }

    bounded_ring<state::record> m_records{64};
};

} // namespace chivedeal::fakes

#endif
