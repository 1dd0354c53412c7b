#ifndef CHIVEDEAL_FORWARD_UNSENT_OUTPUT_HPP
#define CHIVEDEAL_FORWARD_UNSENT_OUTPUT_HPP

#include <cstddef>

namespace chivedeal::forward {

/// Output for callers that their hosts have not acknowledged yet, in the process or in the kernel.
struct unsent_output
{
    std::size_t connections = 0;
    std::size_t bytes = 0;

    friend bool operator==(const unsent_output&, const unsent_output&) = default;
};

} // namespace chivedeal::forward

#endif
