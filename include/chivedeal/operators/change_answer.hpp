#ifndef CHIVEDEAL_OPERATORS_CHANGE_ANSWER_HPP
#define CHIVEDEAL_OPERATORS_CHANGE_ANSWER_HPP

#include "chivedeal/core/error.hpp"
#include "chivedeal/core/id.hpp"

#include <cstdint>

namespace chivedeal::operators {

/// What a node says of a change.
struct change_answer
{
    change_id change;
    /// `ok` for an accepted change.
    error effect;
    /// Version of the path after an accepted change.
    std::uint64_t version = 0;

    friend bool operator==(const change_answer&, const change_answer&) = default;
};

} // namespace chivedeal::operators

#endif
