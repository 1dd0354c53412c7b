#include "chivedeal/core/supervisor.hpp"

#include "chivedeal/core/posix_thread.hpp"

#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <atomic>
#include <stdexcept>

using chivedeal::bounded_ring;
using chivedeal::duty;
using chivedeal::posix_thread;
using chivedeal::supervisor;

namespace {

// Fails the first `faults` runs of all its instances, then waits for its stop.
class faulty_duty : public duty
{
public:
    faulty_duty(std::atomic<int>& runs, int faults) : m_runs(runs), m_faults(faults) {}

    std::string name() const override { return "faulty"; }

    void run() override
    {
        if (++m_runs <= m_faults)
            throw std::runtime_error("planned fault");
        (void)m_stop.pop();
    }

    void request_stop() override { m_stop.close(); }

private:
    std::atomic<int>& m_runs;
    int m_faults;
    bounded_ring<int> m_stop{1};
};

supervisor make_supervisor(std::atomic<int>& runs, int faults, int max_restarts)
{
    return {{.name = "test", .max_restarts = max_restarts, .restart_delay = absl::Milliseconds(1)},
            {{.name = "faulty",
              .make = [&runs, faults] { return std::make_unique<faulty_duty>(runs, faults); }}}};
}

} // namespace

// Guards against a dead thread that nobody restarts.
TEST(supervisor, restarts_a_child_that_throws)
{
    std::atomic<int> runs{0};
    supervisor root = make_supervisor(runs, 2, 5);
    posix_thread thread("root", [&] { root.run(); });
    while (runs < 3)
        absl::SleepFor(absl::Milliseconds(1));
    root.request_stop();
    thread.join();
    EXPECT_EQ(runs, 3);
}

// Guards against endless restarts that hide a lasting fault from the parent.
TEST(supervisor, passes_a_lasting_fault_to_the_parent)
{
    std::atomic<int> runs{0};
    supervisor root = make_supervisor(runs, 1000, 3);
    EXPECT_THROW(root.run(), std::runtime_error);
    EXPECT_EQ(runs, 4);
}
