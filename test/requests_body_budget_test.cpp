#include "chivedeal/requests/body_budget.hpp"

#include <gtest/gtest.h>

namespace chivedeal::requests {
namespace {

// Guards against open requests that together exceed the memory of the instance, and against large
// ones that keep out the small ones.
TEST(body_budget, keeps_part_of_the_limit_for_small_bodies)
{
    body_budget budget({.max_bytes = 100'000, .max_small_body_bytes = 1000});
    EXPECT_TRUE(budget.try_take(70'000));
    EXPECT_FALSE(budget.try_take(10'000));
    EXPECT_TRUE(budget.try_take(1000));
    budget.give_back(70'000);
    EXPECT_TRUE(budget.try_take(10'000));
    EXPECT_EQ(budget.taken_bytes(), 11'000U);
}

} // namespace
} // namespace chivedeal::requests
