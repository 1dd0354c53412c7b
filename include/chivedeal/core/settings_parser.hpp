#ifndef CHIVEDEAL_CORE_SETTINGS_PARSER_HPP
#define CHIVEDEAL_CORE_SETTINGS_PARSER_HPP

#include "chivedeal/core/error.hpp"
#include "chivedeal/core/settings.hpp"

#include <string>
#include <variant>
#include <vector>

namespace chivedeal {

/// Reads and checks the settings of `chivedeal serve`.
///
/// A flag goes before the environment variable of the same name (`--http` before
/// `CHIVEDEAL_HTTP`). Each fault is an `invalid_setting` of its own, all at once.
///
///     auto parsed = settings_parser().parse({"--node", "n1"});
class settings_parser
{
public:
    std::variant<settings, std::vector<error>>
    parse(const std::vector<std::string>& arguments) const;

    /// Returns the help text of all flags with their variables, units and defaults.
    std::string help() const;
};

} // namespace chivedeal

#endif
