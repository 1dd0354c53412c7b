#ifndef TEST_SCENARIO_RUNNER_EXPECTATION_FAILURE_HPP
#define TEST_SCENARIO_RUNNER_EXPECTATION_FAILURE_HPP

#include <stdexcept>

namespace chivedeal::scenario {

/// Something that the scenario expects did not come true.
class expectation_failure : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

} // namespace chivedeal::scenario

#endif
