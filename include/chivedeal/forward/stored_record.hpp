#ifndef CHIVEDEAL_FORWARD_STORED_RECORD_HPP
#define CHIVEDEAL_FORWARD_STORED_RECORD_HPP

#include <cstdint>
#include <string>

namespace chivedeal::forward {

/// A record of a topic. Records of plain logs have an empty key.
struct stored_record
{
    std::string key;
    std::string value;
    /// Whether the record deletes its key.
    bool removed = false;
    std::uint64_t offset = 0;

    friend bool operator==(const stored_record&, const stored_record&) = default;
};

} // namespace chivedeal::forward

#endif
