#include "chivedeal/requests/body_budget.hpp"

namespace chivedeal::requests {

bool body_budget::try_take(std::size_t body_bytes)
{
    const double share =
        body_bytes > m_options.max_small_body_bytes ? m_options.large_body_share : 1;
    const double limit = share * static_cast<double>(m_options.max_bytes);
    if (static_cast<double>(m_taken_bytes + body_bytes) > limit)
        return false;
    m_taken_bytes += body_bytes;
    return true;
}

} // namespace chivedeal::requests
