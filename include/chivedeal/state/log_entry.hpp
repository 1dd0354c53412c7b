#ifndef CHIVEDEAL_STATE_LOG_ENTRY_HPP
#define CHIVEDEAL_STATE_LOG_ENTRY_HPP

#include <cstdint>
#include <string>

namespace chivedeal::state {

/// One raw record as the log service keeps it.
struct log_entry
{
    std::uint64_t offset = 0;
    std::string data;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

} // namespace chivedeal::state

#endif
