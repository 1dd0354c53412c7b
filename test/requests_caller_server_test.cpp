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

class server_fixture
{
public:
    const address where = fakes::free_address();

private:
    system_clock m_clock;
    bounded_ring<router_message> m_inbox{1};
    bounded_ring<route_job> m_jobs{1};

public:
    caller_server server{
        {.listen = where, .time = m_clock, .router_inbox = m_inbox, .route_jobs = m_jobs}};
};

} // namespace

// Guards against losing a stop that is requested before `run`, so that the node never exits.
TEST(caller_server, ends_when_stopped_before_it_runs)
{
    server_fixture fixture;
    fixture.server.request_stop();
    fixture.server.run();
}

// Guards against losing a stop that is requested between bind and accept.
TEST(caller_server, ends_when_stopped_while_it_starts)
{
    for (int i = 0; i < 50; ++i) {
        server_fixture fixture;
        posix_thread server("caller_server", [&] { EXPECT_NO_THROW(fixture.server.run()); });
        fixture.server.request_stop();
        server.join();
    }
}

// Guards against a name in --http that makes the node listen on all interfaces.
TEST(caller_server, rejects_a_name_instead_of_a_number)
{
    const system_clock clock;
    bounded_ring<router_message> inbox(1);
    bounded_ring<route_job> jobs(1);
    caller_server server({.listen = {.host = "localhost", .port = fakes::free_address().port},
                          .time = clock,
                          .router_inbox = inbox,
                          .route_jobs = jobs});
    EXPECT_THROW(server.run(), std::runtime_error);
}

// Guards against two processes that share a port unnoticed, and against an error without a result
// code.
TEST(caller_server, rejects_a_port_in_use)
{
    const fakes::loopback_socket occupied;
    const system_clock clock;
    bounded_ring<router_message> inbox(1);
    bounded_ring<route_job> jobs(1);
    caller_server server({.listen = occupied.listen_address(),
                          .time = clock,
                          .router_inbox = inbox,
                          .route_jobs = jobs});
    try {
        server.run();
        FAIL() << "listens on a port in use";
    }
    catch (const std::runtime_error& exception) {
        EXPECT_EQ(std::string(exception.what()).rfind("101 invalid_setting: cannot listen on", 0),
                  0U)
            << exception.what();
    }
}
