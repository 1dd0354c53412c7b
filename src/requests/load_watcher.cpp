#include "chivedeal/requests/load_watcher.hpp"

#include "chivedeal/control/load_sink.hpp"
#include "chivedeal/control/placement_event.hpp"
#include "chivedeal/core/bounded_http_client.hpp"
#include "chivedeal/core/clock.hpp"
#include "chivedeal/core/control_traffic.hpp"
#include "chivedeal/core/json_object.hpp"
#include "chivedeal/core/log_event.hpp"
#include "chivedeal/membership/membership_view.hpp"

#include "absl/strings/str_cat.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace chivedeal::requests {

namespace {

using nlohmann::json;

// A slower response would be outdated, and an unresponsive endpoint must not delay the polls of the
// other endpoints of its thread for long.
constexpr auto poll_timeout = std::chrono::milliseconds(300);

std::optional<json> get_json(bounded_http_client& client, const std::string& path)
{
    const httplib::Result answer = client.Get(path);
    if (!answer || answer->status != 200)
        return std::nullopt;
    json parsed = json::parse(answer->body, nullptr, false);
    return parsed.is_object() ? std::optional<json>(std::move(parsed)) : std::nullopt;
}

load_report parse_load(const endpoint_id& endpoint, const json& body)
{
    return {.endpoint = endpoint,
            .version = version_id(member_or(body, "version", "")),
            .running = member_or(body, "running", 0),
            .queued = member_or(body, "queued", 0),
            .slots = member_or(body, "slots", 1),
            .kv_used = member_or(body, "kv_used", 0.0),
            .kv_limit = member_or(body, "kv_limit", 0.0),
            .tokens_per_second = member_or(body, "tokens_per_s", 0.0),
            .age = absl::Milliseconds(member_or(body, "age_ms", 0.0))};
}

cache_event_batch parse_cache_events(const endpoint_id& endpoint, const json& body)
{
    cache_event_batch batch{.endpoint = endpoint,
                            .first = member_or(body, "first", std::uint64_t{1}),
                            .next = member_or(body, "next", std::uint64_t{1}),
                            .events = {}};
    for (const json& event : member_or(body, "events", json::array()))
        batch.events.push_back({.seq = member_or(event, "seq", std::uint64_t{0}),
                                .prefix = member_or(event, "prefix", ""),
                                .tokens = member_or(event, "tokens", std::uint64_t{0}),
                                .cached = member_or(event, "cached", false)});
    return batch;
}

} // namespace

load_watcher::load_watcher(options wiring) : m_options(wiring), m_schedule(wiring.schedule) {}

void load_watcher::run()
{
    while (!m_options.views.closed()) {
        const absl::Duration wait = m_schedule.next_due() - m_options.time.now();
        // A poll that is due does not wait, but a new view is handled first.
        if (const auto view = m_options.views.pop(std::max(wait, absl::ZeroDuration()))) {
            m_schedule.on_view(**view, m_options.time.now());
            continue;
        }
        if (const auto next = m_schedule.take_due(m_options.time.now()))
            poll(*next);
    }
}

void load_watcher::request_stop() { m_options.views.close(); }

void load_watcher::poll(const poll_schedule::poll& request)
{
    const endpoint_id& endpoint = request.target.id;
    bounded_http_client client(request.target.listen);
    client.set_connection_timeout(poll_timeout);
    client.set_read_timeout(poll_timeout);
    client.set_keep_alive(true);
    if (m_options.traffic != nullptr)
        m_options.traffic->watch(client, control_purpose::load_poll);
    std::uint64_t after = request.after;
    bool answered = false;
    try {
        if (const auto load = get_json(client, "/v1/load")) {
            answered = true;
            const load_report report = parse_load(endpoint, *load);
            if (m_options.load_sink != nullptr)
                m_options.load_sink->add_load({.endpoint = endpoint,
                                               .open_requests = report.running + report.queued,
                                               .slots = report.slots,
                                               .age = report.age});
            (void)m_options.router_inbox.try_push({.event = report, .reply = nullptr});
        }
        const bool is_engine = request.target.kind == state::service_kind::engine;
        if (const auto events =
                is_engine && answered
                    ? get_json(client, absl::StrCat("/v1/cache-events?after=", after))
                    : std::nullopt) {
            const cache_event_batch batch = parse_cache_events(endpoint, *events);
            // If the ring is full, the next poll requests the same events again.
            if (m_options.router_inbox.try_push({.event = batch, .reply = nullptr}) &&
                batch.next > 0)
                after = batch.next - 1;
        }
    }
    catch (const json::exception&) {
        // A response with a member of the wrong type counts as no response.
        answered = false;
    }
    if (m_schedule.on_polled(endpoint, answered, after))
        log_event(event_id::endpoint_report_missing, {{"endpoint", endpoint.str()}});
}

} // namespace chivedeal::requests
