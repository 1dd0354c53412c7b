#ifndef CHIVEDEAL_FORWARD_RESPONSE_COUNTS_HPP
#define CHIVEDEAL_FORWARD_RESPONSE_COUNTS_HPP

#include <cstdint>

namespace chivedeal::forward {

/// Numbers of good and bad responses.
struct response_counts
{
    std::int64_t good = 0;
    std::int64_t bad = 0;

    std::int64_t total() const { return good + bad; }
    /// 0 without responses.
    double failure_rate() const
    {
        return total() == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(total());
    }
    void add(const response_counts& other)
    {
        good += other.good;
        bad += other.bad;
    }

    friend bool operator==(const response_counts&, const response_counts&) = default;
};

} // namespace chivedeal::forward

#endif
