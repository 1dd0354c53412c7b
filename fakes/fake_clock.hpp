#ifndef FAKES_FAKE_CLOCK_HPP
#define FAKES_FAKE_CLOCK_HPP

#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/mutex.hpp"

#include <mutex>

namespace chivedeal::fakes {

/// A clock that moves only when told; both times move together.
class fake_clock : public clock
{
public:
    explicit fake_clock(absl::Time start = absl::FromUnixSeconds(1'000'000)) : m_now(start) {}

    absl::Time now() const override
    {
        const std::lock_guard<mutex> lock(m_mutex);
        return m_now;
    }

    absl::Time wall_now() const override { return now(); }

    void advance(absl::Duration by)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_now += by;
    }

private:
    mutable mutex m_mutex;
    absl::Time m_now;
};

} // namespace chivedeal::fakes

#endif
