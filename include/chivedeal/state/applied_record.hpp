#ifndef CHIVEDEAL_STATE_APPLIED_RECORD_HPP
#define CHIVEDEAL_STATE_APPLIED_RECORD_HPP

#include "chivedeal/core/error.hpp"
#include "chivedeal/state/record.hpp"

#include <cstdint>
#include <string>

namespace chivedeal::state {

/// A log record with its offset and the result of applying it.
struct applied_record
{
    /// Name of the stream: `control` or `claims`.
    std::string stream;
    std::uint64_t offset = 0;
    record entry;
    /// `ok` if the record took effect, else why it was rejected; the same on every node.
    error effect;

    friend bool operator==(const applied_record&, const applied_record&) = default;
};

} // namespace chivedeal::state

#endif
