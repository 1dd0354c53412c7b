#ifndef TEST_SCENARIO_RUNNER_STATEMENT_HPP
#define TEST_SCENARIO_RUNNER_STATEMENT_HPP

#include <map>
#include <string>
#include <vector>

namespace chivedeal::scenario {

/// One line of a scenario: a verb, words, `name=value` options and a JSON object at the end.
struct statement
{
    int line = 0;
    std::string text;
    std::string verb;
    std::vector<std::string> words;
    std::map<std::string, std::string> options;
    /// Empty when the line has none.
    std::string json;

    friend bool operator==(const statement&, const statement&) = default;
};

} // namespace chivedeal::scenario

#endif
