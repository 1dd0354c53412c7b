#include "flow_core.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/mechanism.hpp"
#include "chivedeal/membership/membership_view.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chivedeal::requests::detail {

namespace {

// A wave of drains may hit several peers; after this many refusals the stream ends here.
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
        // A non-idempotent request runs once, here.
        if (entry == nullptr || !entry->request().idempotent() || entry->hand_off_pending ||
            entry->hand_offs >= max_hand_offs)
            continue;
        // The tokens that the peer gets must be the last that this node sends.
        stop_attempt(*entry);
        entry->retry_at = absl::InfiniteFuture();
        offer(*entry);
    }
    for (const auto& answer : m_answers.undelivered())
        offer_answer(*answer);
}

void flow_core::offer(request_entry& entry)
{
    const auto candidates = peers();
    if (candidates.empty() || entry.hand_offs >= max_hand_offs) {
        entry.hand_off_pending = false;
        start_attempt(entry);
        return;
    }
    // Spreads the streams over the peers.
    const std::size_t first = std::hash<std::string>{}(entry.request().id.str());
    const auto* peer =
        candidates[(first + static_cast<std::size_t>(entry.hand_offs)) % candidates.size()];
    ++entry.hand_offs;
    entry.hand_off_pending = true;
    m_commands.emplace_back(
        hand_off_stream{.peer = peer->rpc, .peer_http = peer->http, .stream = state_of(entry)});
}

void flow_core::offer_answer(const finished_answer& answer)
{
    const auto candidates = peers();
    if (candidates.empty() || !m_offered_answers.try_emplace(answer.request.id, true).second)
        return;
    ++m_open_offers;
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

void flow_core::take(const hand_off_answered& event)
{
    if (const auto offered = m_offered_answers.find(event.request);
        offered != m_offered_answers.end() && offered->second) {
        offered->second = false;
        --m_open_offers;
        return;
    }
    request_entry* entry = find(event.request);
    if (entry == nullptr || !entry->hand_off_pending)
        return;
    if (!event.taken) {
        offer(*entry);
        return;
    }
    log_event(event_id::stream_handed_off,
              {{"request", event.request.str()}, {"peer", to_string(event.peer)}});
    count("chivedeal_streams_handed_off_total");
    release_limits(*entry);
    send(event.request, entry->connection(), answer_moved{.peer = event.peer});
    m_requests.erase(event.request);
}

void flow_core::take(const stream_taken_over& event)
{
    const membership::stream_state& stream = event.stream;
    // The peer asks again when the response to its first call was lost.
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
    // Limits are not enforced: the request was admitted by the peer.
    entry->admitted = is_ok(admit(entry->request()));
    entry->detach(m_now + m_options.resume_window);
    entry->set_tokens(stream.tokens);
    entry->set_last_attempt(stream.attempt);
    start_attempt(*entry);
}

membership::stream_state flow_core::state_of(const request_entry& entry) const
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

// Ready peers, those of the own region first.
std::vector<const membership::node_record*> flow_core::peers() const
{
    std::vector<const membership::node_record*> found;
    if (m_view == nullptr)
        return found;
    region_id region;
    for (const membership::node_record& node : m_view->nodes) {
        if (node.id == m_view->self)
            region = node.region;
        else if (node.status == membership::node_status::alive && node.ready)
            found.push_back(&node);
    }
    const auto in_region = [&](const auto* node) { return node->region == region; };
    const auto end = std::stable_partition(found.begin(), found.end(), in_region);
    if (end != found.begin())
        found.erase(end, found.end());
    return found;
}

} // namespace chivedeal::requests::detail
