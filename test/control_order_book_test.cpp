#include "chivedeal/control/order_book.hpp"

#include "chivedeal/control/cloud_api.hpp"
#include "chivedeal/control/engine_api.hpp"
#include "chivedeal/control/http_cloud_api.hpp"
#include "chivedeal/control/http_engine_api.hpp"
#include "chivedeal/control/move_feed.hpp"
#include "chivedeal/control/order_sender.hpp"
#include "chivedeal/control/pool_price.hpp"
#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/system_clock.hpp"

#include "fakes/fake_cloud.hpp"
#include "fakes/fake_engine.hpp"

#include <gtest/gtest.h>
#include <httplib.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace chivedeal;          // NOLINT(google-build-using-namespace)
using namespace chivedeal::control; // NOLINT(google-build-using-namespace)

namespace {

const absl::Time epoch = absl::FromUnixSeconds(1'000'000);

order_book::options make_options(std::uint64_t grant, bool checks_fencing = true)
{
    return {.lease = {.scope = "placement/r1",
                      .fencing_token = grant,
                      .first_grant_offset = grant,
                      .acquired_at = epoch,
                      .expires_at = epoch + absl::Hours(1)},
            .endpoints_check_fencing = checks_fencing};
}

const load_change_requested load_v2{.endpoint = endpoint_id("e1"), .version = version_id("v2")};

} // namespace

// Guards against duplicate or missing starts when orders or responses are lost, repeated or late,
// or when the instance list lags.
RC_GTEST_PROP(order_book, starts_each_requested_instance_once, ())
{
    order_book book(make_options(42));
    fakes::fake_cloud cloud;
    std::vector<instances_listed> lists{cloud.list()};
    std::vector<order_start> in_flight;
    std::size_t requested_count = 0;
    absl::Time now = epoch;
    const int steps = *rc::gen::inRange(1, 100);
    for (int step = 0; step < steps; ++step) {
        now += absl::Seconds(1);
        const int action = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 6));
        if (action == 0) {
            ++requested_count;
            book.handle(start_requested{.service = service_id("s")}, now);
        }
        else if (action == 1) {
            for (const auto& command : book.handle(order_tick{}, now))
                in_flight.push_back(std::get<order_start>(command));
        }
        else if (action < 4 && !in_flight.empty()) {
            // The order reaches the cloud or is lost; an order that stays in flight arrives again
            // later.
            if (action == 2)
                cloud.start(in_flight.front());
            if (*rc::gen::arbitrary<bool>())
                in_flight.erase(in_flight.begin());
        }
        else if (action == 4) {
            lists.push_back(cloud.list());
        }
        else {
            const std::size_t lag = *rc::gen::inRange<std::size_t>(0, lists.size());
            book.handle(lists[lists.size() - 1 - lag], now);
        }
        RC_ASSERT(cloud.started() <= requested_count);
    }
    for (int round = 0; round < 2; ++round) {
        now += absl::Seconds(10);
        for (const auto& command : book.handle(order_tick{}, now))
            cloud.start(std::get<order_start>(command));
        book.handle(cloud.list(), now);
    }
    RC_ASSERT(cloud.running() == requested_count);
    RC_ASSERT(book.unlisted_starts().empty());
}

// Guards against a start that is counted forever when its instance fails before it is listed.
TEST(order_book, expires_confirmed_start_without_retry)
{
    order_book book(make_options(42));
    book.handle(start_requested{.service = service_id("s")}, epoch);
    ASSERT_EQ(book.handle(order_tick{}, epoch).size(), 1U);
    book.handle(
        start_confirmed{.token = book.unlisted_starts()[0].token, .instance = instance_id("i1")},
        epoch);
    EXPECT_TRUE(book.handle(order_tick{}, epoch + absl::Minutes(1)).empty());
    EXPECT_EQ(book.unlisted_starts().size(), 1U);
    EXPECT_TRUE(book.handle(order_tick{}, epoch + absl::Minutes(5)).empty());
    EXPECT_TRUE(book.unlisted_starts().empty());
}

// Guards against a token that is reused in a later tenure: the second start would have no effect.
TEST(order_book, tokens_differ_between_tenures)
{
    order_book first(make_options(42));
    order_book second(make_options(43));
    for (order_book* book : {&first, &second})
        book->handle(start_requested{.service = service_id("s")}, epoch);
    EXPECT_NE(first.unlisted_starts()[0].token, second.unlisted_starts()[0].token);
    EXPECT_EQ(to_string(first.unlisted_starts()[0].token), "placement/r1:42:1");
}

// Guards against a stop or an unload that interrupts running requests.
TEST(order_book, requires_confirmed_drain_for_stop_and_unload)
{
    order_book book(make_options(42));
    book.handle(stop_requested{.instance = instance_id("i1")}, epoch);
    book.handle(load_change_requested{.endpoint = endpoint_id("e1"), .loaded = false}, epoch);
    EXPECT_TRUE(book.handle(order_tick{}, epoch).empty());
    book.handle(stop_requested{.instance = instance_id("i1"), .drain_confirmed = true}, epoch);
    EXPECT_EQ(book.handle(order_tick{}, epoch).size(), 1U);
}

// Guards against a load order that is considered done once it is acknowledged, and against an
// engine that restarts without the version.
TEST(order_book, retries_load_until_engine_reports_version)
{
    order_book book(make_options(42));
    book.handle(load_v2, epoch);
    const auto sent = book.handle(order_tick{}, epoch);
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(std::get<order_load>(sent[0]).fence, 42U);
    EXPECT_TRUE(book.handle(order_tick{}, epoch + absl::Seconds(1)).empty());
    EXPECT_EQ(book.handle(order_tick{}, epoch + absl::Seconds(4)).size(), 1U);
    book.handle(loaded_versions_read{.endpoint = load_v2.endpoint, .versions = {load_v2.version}},
                epoch);
    EXPECT_TRUE(book.handle(order_tick{}, epoch + absl::Minutes(1)).empty());
    book.handle(loaded_versions_read{.endpoint = load_v2.endpoint, .versions = {}}, epoch);
    EXPECT_EQ(book.handle(order_tick{}, epoch + absl::Minutes(1)).size(), 1U);
}

// Guards against orders of two holders that arrive out of order at engines that ignore fencing.
TEST(order_book, delays_orders_when_endpoints_ignore_fencing)
{
    order_book book(make_options(42, false));
    book.handle(load_v2, epoch);
    EXPECT_TRUE(book.handle(order_tick{}, epoch + absl::Seconds(4)).empty());
    EXPECT_EQ(book.handle(order_tick{}, epoch + absl::Seconds(5)).size(), 1U);
}

// Guards against a holder that keeps sending orders after an engine has accepted a newer holder.
TEST(order_book, stops_sending_after_stale_fence)
{
    order_book book(make_options(42));
    book.handle(load_v2, epoch);
    EXPECT_EQ(book.handle(stale_fence_reported{}, epoch),
              std::vector<order_command>{give_up_tenure{}});
    EXPECT_TRUE(book.gave_up());
    EXPECT_TRUE(book.handle(order_tick{}, epoch).empty());
}

// Guards against a sender that sends orders without a lease, or that later sends a request which
// arrived before the lease.
TEST(order_sender, sends_orders_only_while_holding_lease)
{
    const system_clock time;
    bounded_ring<order_event> inbox(64);
    bounded_ring<attempt_sample> samples(1);
    move_feed feed(samples);
    shared_cell<held_leases> held(std::make_shared<const held_leases>());
    shared_cell<open_orders> orders(std::make_shared<const open_orders>());
    bounded_ring<placement_event> placement(16);
    fakes::fake_cloud_api cloud;
    fakes::fake_engine_api engines;
    order_sender sender({.time = time,
                         .scope = "placement/r1",
                         .inbox = inbox,
                         .held_leases = held,
                         .cloud = cloud,
                         .engines = engines,
                         .feed = feed,
                         .orders = orders,
                         .placement = placement,
                         .endpoints_check_fencing = true});
    posix_thread thread("order_sender", [&] { sender.run(); });
    ASSERT_TRUE(inbox.push(start_requested{.service = service_id("dropped")}));
    EXPECT_FALSE(cloud.m_starts.pop(absl::Milliseconds(300)).has_value());
    held.store(std::make_shared<const held_leases>(
        held_leases{.leases = {{.scope = "placement/r1",
                                .fencing_token = 3,
                                .first_grant_offset = 3,
                                .acquired_at = time.now(),
                                .expires_at = time.now() + absl::Hours(1)}}}));
    ASSERT_TRUE(inbox.push(start_requested{.service = service_id("wanted")}));
    const auto start = cloud.m_starts.pop(absl::Seconds(10));
    sender.request_stop();
    ASSERT_TRUE(start.has_value());
    EXPECT_EQ(start->service, service_id("wanted"));
}

// Guards against responses of the platform or of engines that are mapped to the wrong result.
TEST(http_apis, map_responses_to_results)
{
    httplib::Server server;
    server.Post("/cloud/start", [](const httplib::Request& request, httplib::Response& response) {
        response.status = request.body.find("full") == std::string::npos ? 200 : 409;
        response.set_content(R"({"id": "i7"})", "application/json");
    });
    server.Get("/instances", [](const httplib::Request&, httplib::Response& response) {
        response.set_content(R"({"instances": [{"id": "i7", "token": "t"}, {"id": "i8"}]})",
                             "application/json");
    });
    server.Post("/v1/orders", [](const httplib::Request&, httplib::Response& response) {
        response.status = 409;
    });
    server.Get("/v1/orders", [](const httplib::Request&, httplib::Response& response) {
        response.set_content(R"({"loaded": ["v1", "v2"]})", "application/json");
    });
    const address server_address{
        .host = "127.0.0.1",
        .port = static_cast<std::uint16_t>(server.bind_to_any_port("127.0.0.1"))};
    posix_thread thread("server", [&] { server.listen_after_bind(); });
    http_cloud_api cloud(server_address);
    http_engine_api engines;
    EXPECT_EQ(get_value(cloud.start({.service = service_id("s")})), instance_id("i7"));
    EXPECT_EQ(get_error(cloud.start({.service = service_id("full")})).code,
              result_code::start_refused);
    const auto listed = cloud.list();
    ASSERT_TRUE(is_ok(listed));
    EXPECT_EQ(get_value(listed).entries.size(), 2U);
    EXPECT_EQ(get_value(listed).entries[0].token, "t");
    EXPECT_EQ(get_value(engines.loaded(server_address)),
              (std::vector<version_id>{version_id("v1"), version_id("v2")}));
    EXPECT_EQ(get_error(engines.order(server_address, {})).code, result_code::stale_fence);
    server.stop();
}

// Guards against a pool that is missing from the offers, or considered free, when the price list is
// malformed.
TEST(http_apis, reject_price_list_with_any_invalid_entry)
{
    const std::string good =
        R"({"region": "r", "zone": "z", "class": "a", "reclaimable": true, "price": 1.5})";
    EXPECT_EQ(get_value(parse_prices(R"({"prices": [)" + good + "]}")),
              (std::vector<pool_price>{
                  {.region = region_id("r"),
                   .pool = {.zone = zone_id("z"), .machine_class = "a", .reclaimable = true},
                   .hourly_price = 1.5}}));
    for (const char* wrong :
         {R"({"zone": "z", "class": "a", "reclaimable": true, "price": 1})",
          R"({"region": "r", "zone": 1, "class": "a", "reclaimable": true, "price": 1})",
          R"({"region": "r", "zone": "z", "class": "a", "reclaimable": 1, "price": 1})",
          R"({"region": "r", "zone": "z", "class": "a", "reclaimable": true, "price": -1})",
          R"({"region": "r", "zone": "z", "class": "a", "reclaimable": true})", "7"})
        EXPECT_FALSE(is_ok(parse_prices(R"({"prices": [)" + good + "," + wrong + "]}"))) << wrong;
    for (const char* body : {"", "[]", R"({"prices": {}})"})
        EXPECT_FALSE(is_ok(parse_prices(body))) << body;
}
