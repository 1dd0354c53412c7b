#include "chivedeal/operators/change_plan.hpp"

#include "chivedeal/operators/declared_file.hpp"
#include "chivedeal/state/declaration.hpp"

#include <gtest/gtest.h>

using chivedeal::operators::change_kind;
using chivedeal::operators::declared_file;
using chivedeal::operators::plan_changes;
using chivedeal::operators::planned_change;
using chivedeal::state::declaration;

namespace {

const declared_file move_file{.path = "/teams/hall/moves/catalogue", .body = R"({"version":"v2"})"};
const declared_file service_file{.path = "/teams/hall/services/catalogue", .body = "{}"};

} // namespace

// Guards against a move that is applied before the service that it refers to.
TEST(change_plan, orders_by_dependency)
{
    const auto changes = plan_changes({move_file, service_file}, {}, false);
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[0].path, service_file.path);
    EXPECT_EQ(changes[1].path, move_file.path);
}

// Guards against a change that overwrites what another operator declared meanwhile.
TEST(change_plan, names_the_version_that_was_compared)
{
    const auto changes = plan_changes(
        {service_file}, {{.path = service_file.path, .version = 7, .body = R"({"kind":"plain"})"}},
        false);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].kind, change_kind::update);
    EXPECT_EQ(changes[0].expected_version, 7U);
}

// Guards against needless changes for another order of fields or other white space.
TEST(change_plan, ignores_formatting)
{
    EXPECT_TRUE(
        plan_changes(
            {{.path = "/teams/hall/workspaces/w", .body = R"({"rate": 1, "burst": 2})"}},
            {{.path = "/teams/hall/workspaces/w", .version = 1, .body = R"({"burst":2,"rate":1})"}},
            true)
            .empty());
}

// Guards against removals that nobody asked for, and against touching another team.
TEST(change_plan, removes_only_with_prune_and_within_the_team)
{
    const std::vector<declaration> declared{
        {.path = "/teams/hall/services/old", .version = 3, .body = "{}"},
        {.path = "/teams/yard/services/old", .version = 4, .body = "{}"}};
    EXPECT_EQ(plan_changes({service_file}, declared, false).size(), 1U);
    const auto changes = plan_changes({service_file}, declared, true);
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[1].kind, change_kind::remove);
    EXPECT_EQ(changes[1].path, "/teams/hall/services/old");
}
