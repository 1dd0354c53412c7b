#ifndef CHIVEDEAL_REQUESTS_BODY_BUDGET_HPP
#define CHIVEDEAL_REQUESTS_BODY_BUDGET_HPP

#include <cstddef>
#include <limits>

namespace chivedeal::requests {

/// Limits the bodies of all open requests together. Part of the limit is kept for small bodies, so
/// that callers with large ones don't keep out the others.
class body_budget
{
public:
    struct options
    {
        std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
        /// A larger body is admitted only within `large_body_share` of the limit.
        std::size_t max_small_body_bytes = 64 * 1024;
        double large_body_share = 0.75;
    };

    body_budget() : body_budget(options{}) {}
    explicit body_budget(options limits) : m_options(limits) {}

    /// Returns false if the body doesn't fit. Every success must be followed by `give_back`.
    bool try_take(std::size_t body_bytes);
    void give_back(std::size_t body_bytes) { m_taken_bytes -= body_bytes; }

    std::size_t taken_bytes() const { return m_taken_bytes; }

private:
    options m_options;
    std::size_t m_taken_bytes = 0;
};

} // namespace chivedeal::requests

#endif
