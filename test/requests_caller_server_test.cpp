#include "chivedeal/requests/caller_server.hpp"

#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/system_clock.hpp"
#include "fakes/free_address.hpp"
#include "fakes/loopback_socket.hpp"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)

namespace {

class listener
{
public:
    const address where = fakes::free_address();

private:
    system_clock m_clock;
    bounded_ring<router_message> m_inbox{1};

public:
    caller_server server{{.listen = where, .time = m_clock, .router_inbox = m_inbox}};
};

} // namespace

// Guards against a stop before the start that is lost, so that the node never ends.
TEST(caller_server, ends_when_stopped_before_it_runs)
{
    listener one;
    one.server.request_stop();
    one.server.run();
}

// Guards against a stop that meets the listener between its bind and its accept and is lost.
TEST(caller_server, ends_when_stopped_while_it_starts)
{
    for (int i = 0; i < 50; ++i) {
        listener one;
        posix_thread server("caller_server", [&] { EXPECT_NO_THROW(one.server.run()); });
        one.server.request_stop();
        server.join();
    }
}

// Guards against two processes that share a port unnoticed, and against a fault without a number.
TEST(caller_server, refuses_a_port_in_use)
{
    const fakes::loopback_socket taken;
    const system_clock clock;
    bounded_ring<router_message> inbox(1);
    caller_server server({.listen = taken.where(), .time = clock, .router_inbox = inbox});
    try {
        server.run();
        FAIL() << "listens on a port in use";
    }
    catch (const std::runtime_error& fault) {
        EXPECT_EQ(std::string(fault.what()).rfind("101 invalid_setting: cannot listen on", 0), 0U)
            << fault.what();
    }
}
