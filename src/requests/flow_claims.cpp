#include "flow_core.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/mechanism.hpp"

#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

#include <utility>

namespace chivedeal::requests::detail {

namespace {

// Separates the tokens of a stored result; tokens and JSON text never contain this control
// character.
constexpr char token_separator = '\x1f';

outcome parse_outcome(const std::string& text)
{
    if (text == to_string(outcome::answered))
        return outcome::answered;
    return text == to_string(outcome::failed) ? outcome::failed : outcome::unknown;
}

std::vector<std::string> stored_tokens(const state::claim_entry& stored)
{
    if (parse_outcome(stored.outcome) != outcome::answered)
        return {};
    return absl::StrSplit(stored.body, token_separator, absl::SkipEmpty());
}

error key_in_use_error()
{
    return {
        .code = result_code::claim_lost,
        .message =
            "a request with this idempotency key is or was in progress; retry with the same key"};
}

} // namespace

// Answers a request whose idempotency key is already claimed. Returns false if it is not, as far as
// this node knows.
bool flow_core::answer_known_key(const request_arrived& event)
{
    const caller_request& request = event.request;
    if (request.idempotent() || !is_enabled(mechanism::claims))
        return false;
    const state::claim_entry* stored = m_claims.find(request.idempotency_key);
    if (stored == nullptr)
        return false;
    finished_answer answer{
        .request = request, .tokens = {}, .result = outcome::unknown, .reason = key_in_use_error()};
    if (stored->finished) {
        answer.result = parse_outcome(stored->outcome);
        answer.reason = {};
        answer.tokens = stored_tokens(*stored);
    }
    replay(answer, event.connection, 0);
    return true;
}

// Answers a request that lost its claim to one whose result is already in the log.
void flow_core::deliver_stored_result(request_entry& entry, const state::claim_entry& stored)
{
    entry.set_tokens(stored_tokens(stored));
    for (std::size_t i = 0; i < entry.tokens().size(); ++i)
        send(entry.request().id, entry.connection(),
             answer_token{.position = i, .text = entry.tokens()[i]});
    finish(entry, parse_outcome(stored.outcome), {});
}

void flow_core::claim_or_start(request_entry& entry)
{
    const caller_request& request = entry.request();
    if (request.idempotent() || !is_enabled(mechanism::claims)) {
        start_attempt(entry);
        return;
    }
    entry.evidence.key_undecided = true;
    auto claim = m_claims.propose(request.id, request.idempotency_key, m_now);
    if (!claim) {
        finish(entry, outcome::unknown, key_in_use_error());
        return;
    }
    m_commands.emplace_back(append_record{*std::move(claim)});
}

void flow_core::on_event(const claim_read_back& event)
{
    const claim_tracker::decision decided = m_claims.apply(event.applied, m_now);
    if (decided.result == claim_tracker::verdict::foreign)
        return;
    request_entry* entry = find(decided.request);
    log_event(event_id::claim_decided,
              {{"request", decided.request.str()},
               {"won", decided.result == claim_tracker::verdict::won ? "yes" : "no"}});
    if (decided.result == claim_tracker::verdict::lost) {
        const state::claim_entry* stored = m_claims.find(decided.key);
        if (entry != nullptr && stored != nullptr && stored->finished)
            deliver_stored_result(*entry, *stored);
        else if (entry != nullptr)
            finish(*entry, outcome::unknown, key_in_use_error());
        return;
    }
    if (decided.result == claim_tracker::verdict::won && entry != nullptr &&
        m_now < entry->request().deadline) {
        entry->evidence.key_undecided = false;
        start_attempt(*entry);
        return;
    }
    // No request with this key has run and this one will not either, so free the key for all nodes.
    m_commands.emplace_back(append_record{m_claims.release(decided.key)});
    if (entry != nullptr)
        finish(
            *entry, outcome::unknown,
            {.code = result_code::claim_unavailable,
             .message =
                 "the claim of the idempotency key took effect too late; retry with the same key"});
}

void flow_core::on_event(const claim_refused& event)
{
    const auto request = m_claims.withdraw(event.key);
    request_entry* entry = request ? find(*request) : nullptr;
    if (entry != nullptr)
        finish(*entry, outcome::unknown,
               {.code = result_code::claim_unavailable, .message = to_string(event.reason)});
}

// Records in the log how a request with an idempotency key ended.
void flow_core::complete_claim(const request_entry& entry, outcome result)
{
    const caller_request& request = entry.request();
    if (request.idempotent() || !is_enabled(mechanism::claims))
        return;
    if (entry.evidence.key_undecided) {
        m_claims.abandon(request.idempotency_key);
        return;
    }
    if (result == outcome::not_run) {
        m_commands.emplace_back(append_record{m_claims.release(request.idempotency_key)});
        return;
    }
    std::string body;
    if (result == outcome::answered)
        body = absl::StrJoin(entry.tokens(), std::string(1, token_separator));
    if (body.size() > m_options.max_result_bytes) {
        result = outcome::unknown;
        body.clear();
    }
    m_commands.emplace_back(append_record{
        m_claims.finish(request.idempotency_key, to_string(result), std::move(body))});
}

} // namespace chivedeal::requests::detail
