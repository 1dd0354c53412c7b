#include "chivedeal/forward/event_boundary.hpp"

#include "absl/strings/match.h"

#include <algorithm>
#include <cstddef>

namespace chivedeal::forward {

namespace {

constexpr std::size_t tail_bytes = 3;

} // namespace

void event_boundary::feed(std::string_view bytes)
{
    if (bytes.empty())
        return;
    m_tail += bytes.substr(bytes.size() - std::min(bytes.size(), tail_bytes));
    m_tail.erase(0, m_tail.size() - std::min(m_tail.size(), tail_bytes));
    m_is_inside_event = !absl::EndsWith(m_tail, "\n\n") && !absl::EndsWith(m_tail, "\n\r\n");
}

} // namespace chivedeal::forward
