// A store that is restored from an older copy, with a node that runs as a process.
#include "fakes/eventually.hpp"
#include "test/platform_soak/soak_node.hpp"
#include "test/platform_soak/soak_store.hpp"

#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <csignal>

namespace chivedeal::platform {
namespace {

constexpr absl::Duration max_wait = absl::Seconds(60);

// Guards against a node that stays unregistered and keeps the lease of an earlier epoch after the
// store lost both, because the epoch doesn't reach its control duties.
TEST(era_process, writes_again_what_the_store_lost)
{
    soak::soak_store store{1};
    soak::soak_node node{{.name = absl::StrCat("era_", getpid()),
                          .program = CHIVEDEAL_PROGRAM,
                          .directory = ::testing::TempDir(),
                          .store = store.listen_address()}};
    store.put("keyed.op", "config", R"({"version":1,"routes":[],"services":[],"tenants":[]})");
    store.take_copy();
    node.write_settings({node.control()});
    node.start();
    ASSERT_TRUE(fakes::eventually(max_wait, [&] { return node.is_ready(); }));
    ASSERT_TRUE(
        fakes::eventually(max_wait, [&] { return store.has_record("lease", "\"holder\""); }));
    EXPECT_FALSE(store.has_record("lease", "\"epoch\""));
    ASSERT_TRUE(
        fakes::eventually(max_wait, [&] { return store.has_record("keyed.nodes", "peers"); }));
    store.drill();
    ASSERT_FALSE(store.has_record("lease", "\"holder\""));
    EXPECT_TRUE(fakes::eventually(max_wait, [&] {
        return store.has_record("lease", "\"epoch\":1") && store.has_record("keyed.nodes", "peers");
    }));
    node.signal(SIGTERM);
    EXPECT_TRUE(fakes::eventually(max_wait, [&] { return node.ended(); }));
}

} // namespace
} // namespace chivedeal::platform
