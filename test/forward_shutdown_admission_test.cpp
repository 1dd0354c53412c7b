#include "chivedeal/forward/route.hpp"
#include "chivedeal/forward/shutdown_admission.hpp"

#include <gtest/gtest.h>

namespace chivedeal::forward {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const absl::Time far = start + absl::Seconds(15);
constexpr absl::Duration grace = absl::Seconds(8);
const absl::Time callers_informed = start + absl::Seconds(3);
const route app{.name = "app", .kind = route_kind::non_idempotent};
const route stream{.name = "app", .kind = route_kind::streaming};

shutdown_admission with_response_times(absl::Duration first, absl::Duration second)
{
    shutdown_admission admission;
    for (int i = 0; i < 50; ++i) {
        admission.on_response("app", first);
        admission.on_response("app", second);
    }
    return admission;
}

TEST(shutdown_admission, accepts_everything_before_the_shutdown)
{
    EXPECT_TRUE(shutdown_admission().accepts(app, far, start));
}

// Guards against cutting off requests, and against refusing those that have enough time.
TEST(shutdown_admission, accepts_requests_while_their_route_has_time_for_them)
{
    shutdown_admission admission =
        with_response_times(absl::Milliseconds(900), absl::Milliseconds(1100));
    admission.begin(start + grace, callers_informed);
    EXPECT_TRUE(admission.accepts(app, far, start + absl::Seconds(6)));
    EXPECT_FALSE(admission.accepts(app, far, start + absl::Seconds(7)));
}

// Guards against counting on the mean while response times vary.
TEST(shutdown_admission, leaves_time_for_slow_responses)
{
    shutdown_admission admission =
        with_response_times(absl::Milliseconds(200), absl::Milliseconds(1800));
    admission.begin(start + grace, callers_informed);
    EXPECT_TRUE(admission.accepts(app, far, start + absl::Seconds(3)));
    EXPECT_FALSE(admission.accepts(app, far, start + absl::Seconds(6)));
}

// Guards against cutting off a stream that lasts longer than usual, which has no final response.
TEST(shutdown_admission, expects_nothing_of_streams_once_callers_know_other_nodes)
{
    shutdown_admission admission =
        with_response_times(absl::Milliseconds(900), absl::Milliseconds(1100));
    admission.begin(start + grace, callers_informed);
    EXPECT_TRUE(admission.accepts(stream, far, callers_informed - absl::Milliseconds(1)));
    EXPECT_FALSE(admission.accepts(stream, far, callers_informed));
    EXPECT_TRUE(admission.accepts(app, far, callers_informed));
    EXPECT_TRUE(admission.accepts(stream, start + grace, callers_informed));
}

TEST(shutdown_admission, refuses_requests_of_a_route_without_responses)
{
    shutdown_admission admission;
    admission.begin(start + grace, callers_informed);
    EXPECT_FALSE(admission.accepts(app, far, start));
}

// A request that is given up in time gets its final response from this node.
TEST(shutdown_admission, accepts_requests_that_are_given_up_in_time)
{
    shutdown_admission admission;
    admission.begin(start + grace, callers_informed);
    EXPECT_TRUE(admission.accepts(app, start + grace, start));
    EXPECT_FALSE(admission.accepts(app, start + grace + absl::Milliseconds(1), start));
}

// Guards against memory that grows with each change of the configuration.
TEST(shutdown_admission, forgets_routes_that_are_gone)
{
    shutdown_admission admission = with_response_times(absl::Seconds(1), absl::Seconds(1));
    admission.begin(start + grace, callers_informed);
    admission.retain({{.name = "app"}});
    EXPECT_TRUE(admission.accepts(app, far, start));
    admission.retain({{.name = "other"}});
    EXPECT_FALSE(admission.accepts(app, far, start));
}

} // namespace
} // namespace chivedeal::forward
