#ifndef TEST_PLATFORM_SOAK_SOAK_CALLER_HPP
#define TEST_PLATFORM_SOAK_SOAK_CALLER_HPP

#include "chivedeal/core/posix_thread.hpp"
#include "test/platform_soak/ledger.hpp"
#include "test/platform_soak/soak_node.hpp"

#include <httplib.h>

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chivedeal::soak {

/// Sends requests to nodes in turn, each over a connection that it uses until it ends.
class soak_caller
{
public:
    struct options
    {
        std::string name;
        unsigned seed = 1;
        std::vector<soak_node*> nodes;
        ledger& promises;
        /// Share of streams with a part that crashes endpoints.
        const std::atomic<double>& deadly_share;
    };

    explicit soak_caller(options settings);
    ~soak_caller();
    soak_caller(const soak_caller&) = delete;
    soak_caller& operator=(const soak_caller&) = delete;

private:
    void run();
    void send_request();
    httplib::Result call(httplib::Client& client, const ledger::sent_request& request,
                         const std::string& path);
    void record(const ledger::sent_request& request, const httplib::Result& result,
                const std::string& expected_body, const soak_node& node);

    options m_options;
    std::mt19937 m_random;
    int m_sent = 0;
    std::vector<std::unique_ptr<httplib::Client>> m_clients;
    std::atomic<bool> m_stopping = false;
    std::unique_ptr<posix_thread> m_thread;
};

} // namespace chivedeal::soak

#endif
