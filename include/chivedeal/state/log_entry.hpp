#ifndef CHIVEDEAL_STATE_LOG_ENTRY_HPP
#define CHIVEDEAL_STATE_LOG_ENTRY_HPP

#include <cstdint>
#include <string>

namespace chivedeal::state {

/// Encoded record as stored by the log service.
struct log_entry
{
    std::uint64_t offset = 0;
    std::string data;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

} // namespace chivedeal::state

#endif
