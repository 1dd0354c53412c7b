#include "flow_core.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/membership/membership_view.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chivedeal::requests::detail {

namespace {

// Several peers may drain at the same time. After this many refusals, the stream finishes on
// this node.
constexpr int max_hand_offs = 3;

outcome parse_outcome(const std::string& text)
{
    for (const outcome value : {outcome::answered, outcome::not_run, outcome::failed})
        if (text == to_string(value))
            return value;
    return outcome::unknown;
}

} // namespace

void flow_core::hand_off_streams()
{
    if (!is_enabled(mechanism::stream_hand_off))
        return;
    for (const request_id& request : open_ids()) {
        request_entry* entry = find(request);
        // A non-idempotent request must not run on a second node.
        if (entry == nullptr || !entry->request().idempotent() || entry->hand_off_pending ||
            entry->hand_off_attempts >= max_hand_offs)
            continue;
        // Stop the attempt first, so that this node sends no tokens beyond those that the peer
        // gets.
        stop_attempt(*entry);
        entry->retry_at = absl::InfiniteFuture();
        offer_stream(*entry);
    }
    for (const auto& answer : m_answers.undelivered())
        offer_answer(*answer);
}

void flow_core::offer_stream(request_entry& entry)
{
    const auto candidates = hand_off_candidates();
    if (candidates.empty() || entry.hand_off_attempts >= max_hand_offs) {
        entry.hand_off_pending = false;
        start_attempt(entry);
        return;
    }
    // Hashing the request ID spreads the streams over the peers.
    const std::size_t first_index = std::hash<std::string>{}(entry.request().id.str());
    const auto* peer =
        candidates[(first_index + static_cast<std::size_t>(entry.hand_off_attempts)) %
                   candidates.size()];
    ++entry.hand_off_attempts;
    entry.hand_off_pending = true;
    m_commands.emplace_back(hand_off_stream{
        .peer = peer->rpc, .peer_http = peer->http, .stream = make_stream_state(entry)});
}

void flow_core::offer_answer(const finished_answer& answer)
{
    const auto candidates = hand_off_candidates();
    if (candidates.empty() || !m_offered_answers.try_emplace(answer.request.id, true).second)
        return;
    ++m_pending_answer_offers;
    const auto* peer = candidates.front();
    m_commands.emplace_back(hand_off_stream{.peer = peer->rpc,
                                            .peer_http = peer->http,
                                            .stream = {.request = answer.request.id,
                                                       .workspace = answer.request.workspace,
                                                       .service = answer.request.service,
                                                       .version = {},
                                                       .route = answer.request.route,
                                                       .priority = answer.request.priority,
                                                       .remaining = answer.request.deadline - m_now,
                                                       .body = answer.request.body,
                                                       .tokens = answer.tokens,
                                                       .finished = true,
                                                       .outcome = to_string(answer.result)}});
}

void flow_core::on_event(const hand_off_answered& event)
{
    if (const auto offered = m_offered_answers.find(event.request);
        offered != m_offered_answers.end() && offered->second) {
        offered->second = false;
        --m_pending_answer_offers;
        return;
    }
    request_entry* entry = find(event.request);
    if (entry == nullptr || !entry->hand_off_pending)
        return;
    if (!event.accepted) {
        offer_stream(*entry);
        return;
    }
    log_event(event_id::stream_handed_off,
              {{"request", event.request.str()}, {"peer", to_string(event.peer)}});
    count("chivedeal_streams_handed_off_total");
    release_limits(*entry);
    send(event.request, entry->connection(), answer_moved{.peer = event.peer});
    m_requests.erase(event.request);
}

void flow_core::on_event(const stream_received& event)
{
    const membership::stream_state& stream = event.stream;
    // The peer repeats the call if the response to its first one was lost.
    if (find(stream.request) != nullptr || m_answers.find(stream.request) != nullptr)
        return;
    caller_request request{.id = stream.request,
                           .workspace = stream.workspace,
                           .service = stream.service,
                           .route = stream.route,
                           .priority = stream.priority,
                           .deadline = m_now + stream.remaining,
                           .idempotency_key = {},
                           .body = stream.body,
                           .prefix = event.prefix};
    if (stream.finished) {
        m_answers.add({.request = std::move(request),
                       .tokens = stream.tokens,
                       .result = parse_outcome(stream.outcome),
                       .reason = {}},
                      m_now);
        return;
    }
    auto& entry = m_requests[stream.request];
    entry = std::make_unique<request_entry>(std::move(request), 0, m_now);
    // The peer has admitted the request, so it runs here even if a limit would reject it.
    entry->admitted = is_ok(admit(entry->request()));
    entry->detach_caller(m_now + m_options.resume_window);
    entry->set_tokens(stream.tokens);
    entry->set_last_attempt(stream.attempt);
    start_attempt(*entry);
}

membership::stream_state flow_core::make_stream_state(const request_entry& entry) const
{
    const caller_request& request = entry.request();
    return {.request = request.id,
            .workspace = request.workspace,
            .service = request.service,
            .version = {},
            .route = request.route,
            .priority = request.priority,
            .attempt = entry.last_attempt(),
            .remaining = request.deadline - m_now,
            .body = request.body,
            .tokens = entry.tokens(),
            .finished = false,
            .outcome = {}};
}

// Returns the ready peers of this node's region, or all ready peers if the region has none.
std::vector<const membership::node_record*> flow_core::hand_off_candidates() const
{
    std::vector<const membership::node_record*> candidates;
    if (m_view == nullptr)
        return candidates;
    region_id region;
    for (const membership::node_record& node : m_view->nodes) {
        if (node.id == m_view->self)
            region = node.region;
        else if (node.status == membership::node_status::alive && node.ready)
            candidates.push_back(&node);
    }
    const auto in_region = [&](const auto* node) { return node->region == region; };
    const auto region_end = std::stable_partition(candidates.begin(), candidates.end(), in_region);
    if (region_end != candidates.begin())
        candidates.erase(region_end, candidates.end());
    return candidates;
}

} // namespace chivedeal::requests::detail
