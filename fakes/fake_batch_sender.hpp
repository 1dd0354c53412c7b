#ifndef CHIVEDEAL_FAKES_FAKE_BATCH_SENDER_HPP
#define CHIVEDEAL_FAKES_FAKE_BATCH_SENDER_HPP

#include "chivedeal/core/mutex.hpp"
#include "chivedeal/forward/batch_sender.hpp"
#include "chivedeal/forward/relayed_batch.hpp"

#include <mutex>
#include <utility>
#include <vector>

namespace chivedeal::fakes {

/// Keeps what a node told its peers.
class fake_batch_sender : public forward::batch_sender
{
public:
    void relay(forward::relayed_batch batch) override
    {
        const std::lock_guard<mutex> lock(m_guard);
        m_batches.push_back(std::move(batch));
    }

    std::vector<forward::relayed_batch> batches() const
    {
        const std::lock_guard<mutex> lock(m_guard);
        return m_batches;
    }

    std::vector<forward::stored_record> records() const
    {
        std::vector<forward::stored_record> all;
        for (const forward::relayed_batch& batch : batches())
            all.insert(all.end(), batch.records.begin(), batch.records.end());
        return all;
    }

private:
    mutable mutex m_guard;
    std::vector<forward::relayed_batch> m_batches;
};

} // namespace chivedeal::fakes

#endif
