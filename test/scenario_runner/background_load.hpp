#ifndef TEST_SCENARIO_RUNNER_BACKGROUND_LOAD_HPP
#define TEST_SCENARIO_RUNNER_BACKGROUND_LOAD_HPP

#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/operators/caller_client.hpp"

#include <atomic>
#include <memory>
#include <vector>

namespace chivedeal::scenario {

/// Callers that send one request after the other until they are stopped.
class background_load
{
public:
    struct options
    {
        operators::caller_client::options client;
        /// Each request gets an ID and a prompt of its own.
        operators::caller_client::call call;
        int threads = 1;
    };

    explicit background_load(options start);
    ~background_load();

private:
    void run(int thread);

    options m_options;
    std::atomic<bool> m_stop{false};
    std::vector<std::unique_ptr<posix_thread>> m_threads;
};

} // namespace chivedeal::scenario

#endif
