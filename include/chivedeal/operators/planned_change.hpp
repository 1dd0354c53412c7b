#ifndef CHIVEDEAL_OPERATORS_PLANNED_CHANGE_HPP
#define CHIVEDEAL_OPERATORS_PLANNED_CHANGE_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace chivedeal::operators {

enum class change_kind
{
    add,
    update,
    remove,
};

/// A step that makes the cluster agree with a directory.
struct planned_change
{
    change_kind kind = change_kind::add;
    std::string path;
    /// Absent for a removal.
    std::optional<std::string> body;
    std::string previous_body;
    /// Version that the cluster had when the change was planned.
    std::uint64_t expected_version = 0;

    friend bool operator==(const planned_change&, const planned_change&) = default;
};

} // namespace chivedeal::operators

#endif
