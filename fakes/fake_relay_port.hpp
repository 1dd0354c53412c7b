#ifndef CHIVEDEAL_FAKES_FAKE_RELAY_PORT_HPP
#define CHIVEDEAL_FAKES_FAKE_RELAY_PORT_HPP

#include "chivedeal/core/mutex.hpp"
#include "chivedeal/forward/relay_port.hpp"
#include "chivedeal/forward/relayed_batch.hpp"

#include <mutex>
#include <utility>
#include <vector>

namespace chivedeal::fakes {

/// Keeps the records that a node told its peers.
class fake_relay_port : public forward::relay_port
{
public:
    void relay(forward::relayed_batch batch) override
    {
        const std::lock_guard<mutex> lock(m_guard);
        for (forward::stored_record& one : batch.records)
            m_records.push_back(std::move(one));
    }

    std::vector<forward::stored_record> records() const
    {
        const std::lock_guard<mutex> lock(m_guard);
        return m_records;
    }

private:
    mutable mutex m_guard;
    std::vector<forward::stored_record> m_records;
};

} // namespace chivedeal::fakes

#endif
