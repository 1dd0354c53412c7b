#ifndef TEST_SCENARIO_RUNNER_SCRIPT_HPP
#define TEST_SCENARIO_RUNNER_SCRIPT_HPP

#include "chivedeal/core/result.hpp"
#include "test/scenario_runner/statement.hpp"

#include <string>
#include <vector>

namespace chivedeal::scenario {

/// A parsed scenario.
///
///     platform
///     node n1 region=zurich zone=z1
///     send r1 service=catalogue prompt="oak bowl" tokens=20
///     await r1 outcome=answered tokens=20
struct script
{
    /// Promise and mechanism of the `proves` line, empty when there is none.
    std::string promise;
    std::string mechanism;
    std::vector<statement> statements;
};

/// Parses the text of a scenario file; `malformed_message` names the line.
result<script> parse_script(const std::string& text);

} // namespace chivedeal::scenario

#endif
