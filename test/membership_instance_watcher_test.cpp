#include "chivedeal/membership/instance_watcher.hpp"

#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/membership/gossip_inbox.hpp"
#include "fakes/fake_clock.hpp"
#include "fakes/fake_instance_source.hpp"

#include <gtest/gtest.h>

using namespace chivedeal;
using namespace chivedeal::membership;

// Guards against a list outage that empties the list, and against a notice that is lost in it.
TEST(instance_watcher, reports_nothing_during_an_outage_and_all_after_it)
{
    fakes::fake_clock time;
    fakes::fake_instance_source source;
    gossip_inbox inbox(time);
    instance_watcher watcher({.source = source, .inbox = inbox, .interval = absl::Milliseconds(1)});
    source.set_down(true);
    source.set({{.id = endpoint_id("i1")}},
               {{.sequence = 3, .endpoint = endpoint_id("i1"), .remaining = absl::Seconds(9)}});
    posix_thread thread("watcher", [&] { watcher.run(); });
    EXPECT_FALSE(inbox.ring().pop(absl::Milliseconds(20)));
    source.set_down(false);
    std::size_t facts = 0;
    std::size_t lists = 0;
    while (facts == 0 || lists == 0) {
        (void)inbox.ring().pop();
        for (const gossip_event& event : inbox.take_local()) {
            facts += std::holds_alternative<local_fact>(event) ? 1U : 0U;
            lists += std::holds_alternative<instances_listed>(event) ? 1U : 0U;
        }
    }
    watcher.request_stop();
    thread.join();
    EXPECT_EQ(facts, 1U);
}
