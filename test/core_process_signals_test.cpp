#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/process_signals.hpp"
#include "chivedeal/core/signal_listener.hpp"
#include "fakes/eventually.hpp"

#include <gtest/gtest.h>

#include <unistd.h>

#include <atomic>
#include <csignal>

namespace chivedeal {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(30);

class counting_listener : public signal_listener
{
public:
    void on_stop_requested() override { ++stops; }
    void on_settings_check() override { ++checks; }

    std::atomic<int> stops = 0;
    std::atomic<int> checks = 0;
};

// Guards against a signal that ends the process: none of them ends the loop, `end` does.
TEST(process_signals, ends_only_when_it_is_told)
{
    sigset_t mask_before;
    pthread_sigmask(SIG_SETMASK, nullptr, &mask_before);
    process_signals::block();
    counting_listener listener;
    process_signals signals({.listener = listener});
    std::atomic<bool> ended = false;
    posix_thread loop("signals", [&] {
        signals.run();
        ended = true;
    });
    const auto send = [](int number, const std::atomic<int>& count) {
        const int before = count;
        kill(getpid(), number);
        return fakes::eventually(max_wait, [&] { return count == before + 1; });
    };
    EXPECT_TRUE(send(SIGTERM, listener.stops));
    EXPECT_TRUE(send(SIGTERM, listener.stops));
    EXPECT_TRUE(send(SIGHUP, listener.checks));
    EXPECT_TRUE(send(SIGINT, listener.stops));
    // Of two pending signals the one with the lower number is taken first.
    static_assert(SIGUSR1 < SIGTERM);
    kill(getpid(), SIGUSR1);
    EXPECT_TRUE(send(SIGTERM, listener.stops));
    EXPECT_FALSE(ended);
    signals.end();
    loop.join();
    pthread_sigmask(SIG_SETMASK, &mask_before, nullptr);
    EXPECT_EQ(listener.stops, 4);
    EXPECT_EQ(listener.checks, 1);
}

} // namespace
} // namespace chivedeal
