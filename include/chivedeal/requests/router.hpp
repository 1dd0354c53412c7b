#ifndef CHIVEDEAL_REQUESTS_ROUTER_HPP
#define CHIVEDEAL_REQUESTS_ROUTER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/requests/attempt_start.hpp"
#include "chivedeal/requests/endpoint_command.hpp"
#include "chivedeal/requests/request_flow.hpp"
#include "chivedeal/requests/router_message.hpp"

#include "absl/container/flat_hash_map.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace chivedeal {
class clock;
}

namespace chivedeal::control {
class sample_sink;
}

namespace chivedeal::membership {
class gossip_port;
}

namespace chivedeal::state {
class record_sink;
}

namespace chivedeal::requests {

class route_policy;

/// Thread that passes events from its ring to the request flow and executes the flow's commands.
class router : public duty
{
public:
    /// A null pointer disables the part of the node that it refers to.
    struct options
    {
        const clock& time;
        std::shared_ptr<route_policy> policy;
        /// `flow.policy` refers to `*policy`; an empty `flow.incarnation` is replaced by a random
        /// one.
        request_flow::options flow;
        bounded_ring<router_message>& inbox;
        bounded_ring<attempt_start>& attempts;
        bounded_ring<endpoint_command>& endpoint_commands;
        bounded_ring<hand_off_stream>* stream_hand_offs = nullptr;
        state::record_sink* records = nullptr;
        control::sample_sink* samples = nullptr;
        membership::gossip_port* gossip = nullptr;
        /// Called once, in the router's thread, when the drain is complete.
        std::function<void()> on_drained = nullptr;
    };

    explicit router(options wiring);
    ~router() override;

    std::string name() const override { return "router"; }
    void run() override;
    void request_stop() override;

private:
    void handle(router_message message);
    void process(flow_event event);
    void execute(const attempt_start& command);
    void execute(const cancel_attempt& command);
    void execute(const send_answer& command);
    void execute(const drop_connection& command);
    void execute(const move_kv& command);
    void execute(const append_record& command);
    void execute(const hand_off_stream& command);
    void execute(const add_sample& command);
    void execute(const announce_leaving& command);
    void execute(const stop_node& command);
    void close_reply(connection_number connection);
    void retry_unsent_records();
    void publish_demand(absl::Time now);

    options m_options;
    request_flow m_flow;
    absl::flat_hash_map<connection_number, std::shared_ptr<answer_sink>> m_replies;
    /// Events still to be handled, such as those caused by a command that could not be executed.
    std::deque<flow_event> m_pending_events;
    std::deque<append_record> m_unsent_records;
    absl::Time m_next_demand_at = absl::InfinitePast();
};

} // namespace chivedeal::requests

#endif
