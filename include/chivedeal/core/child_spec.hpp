#ifndef CHIVEDEAL_CORE_CHILD_SPEC_HPP
#define CHIVEDEAL_CORE_CHILD_SPEC_HPP

#include <functional>
#include <memory>
#include <string>

namespace chivedeal {

class duty;

/// How a supervisor makes a child. Each restart calls `make` again, so that a child never runs on
/// with members that its fault left half changed.
struct child_spec
{
    std::string name;
    std::function<std::unique_ptr<duty>()> make;
};

} // namespace chivedeal

#endif
