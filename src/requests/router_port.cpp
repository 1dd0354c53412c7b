#include "chivedeal/requests/router_port.hpp"

#include "chivedeal/requests/prompt_prefix.hpp"

#include <utility>

namespace chivedeal::requests {

router_port::router_port(bounded_ring<router_message>& inbox) : m_inbox(inbox) {}

void router_port::on_applied(const state::applied_record& applied)
{
    const auto& body = applied.entry.body;
    if (std::holds_alternative<state::claim>(body) ||
        std::holds_alternative<state::claim_release>(body) ||
        std::holds_alternative<state::claim_result>(body))
        (void)m_inbox.push({.event = claim_read_back{applied}, .reply = nullptr});
}

void router_port::on_state(std::shared_ptr<const state::cluster_state> state)
{
    (void)m_inbox.push({.event = state_changed{std::move(state)}, .reply = nullptr});
}

void router_port::on_claims_restored(const std::vector<state::claim_entry>& claims)
{
    (void)m_inbox.push({.event = claims_restored{claims}, .reply = nullptr});
}

void router_port::on_view(std::shared_ptr<const membership::membership_view> view)
{
    (void)m_inbox.push({.event = view_changed{std::move(view)}, .reply = nullptr});
}

status router_port::take_over(membership::stream_state stream)
{
    std::string prefix = prompt_prefix_of_body(stream.body);
    if (m_inbox.try_push(
            {.event = stream_received{.stream = std::move(stream), .prefix = std::move(prefix)},
             .reply = nullptr}))
        return ok_status();
    return error{.code = result_code::ring_full, .message = "the node is overloaded"};
}

void router_port::request_drain()
{
    (void)m_inbox.push({.event = drain_requested{}, .reply = nullptr});
}

} // namespace chivedeal::requests
