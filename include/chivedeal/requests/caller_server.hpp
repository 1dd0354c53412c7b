#ifndef CHIVEDEAL_REQUESTS_CALLER_SERVER_HPP
#define CHIVEDEAL_REQUESTS_CALLER_SERVER_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/forward/caller_listener.hpp"
#include "chivedeal/forward/caller_side.hpp"
#include "chivedeal/forward/poller.hpp"
#include "chivedeal/guard/connection_limits.hpp"
#include "chivedeal/requests/answer_event.hpp"
#include "chivedeal/requests/outcome.hpp"
#include "chivedeal/requests/route_job.hpp"
#include "chivedeal/requests/router_message.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace chivedeal {
class clock;
class metrics;
} // namespace chivedeal

namespace chivedeal::requests {

class answer_queue;
class ready_answers;
class route_replies;

/// Thread that owns all sockets to callers and operators: reads their requests, passes them to the
/// router or to the route workers, and writes the answers.
class caller_server : public duty, private forward::caller_listener
{
public:
    struct options
    {
        address listen;
        const clock& time;
        bounded_ring<router_message>& router_inbox;
        /// Calls of the routes of other components.
        bounded_ring<route_job>& route_jobs;
        std::size_t max_request_bytes = 4 * 1024 * 1024;
        guard::connection_limits limits = guard::divide_instance({});
        /// May be null.
        metrics* counters = nullptr;
    };

    explicit caller_server(options wiring);
    ~caller_server() override;

    std::string name() const override { return "caller_server"; }
    /// Throws if the address can't be bound.
    void run() override;
    void request_stop() override;

private:
    /// A request whose answer comes from the router.
    struct open_answer
    {
        request_id request;
        connection_number number = 0;
        std::shared_ptr<answer_queue> queue;
        /// It is a new request, not the resumption of one.
        bool is_arrival = false;
        bool is_streaming = false;
    };

    void on_request(std::uint64_t connection, int listener, forward::http_request request,
                    absl::Time started, absl::Time now) override;
    void on_caller_disconnected(std::uint64_t connection, absl::Time now) override;
    void on_caller_writable(std::uint64_t connection) override;
    void on_release_requested(std::uint64_t connection, absl::Time now) override;
    void on_shed(std::uint64_t connection, absl::Time now) override;
    forward::rejection make_rejection(int status) const override;

    void open_listener();
    void run_once(absl::Time now);
    void start(std::uint64_t connection, const std::string& service, forward::http_request& request,
               absl::Time now);
    void resume(std::uint64_t connection, const std::string& request_id,
                const forward::http_request& request, absl::Time now);
    void cancel(std::uint64_t connection, const std::string& request_id, absl::Time now);
    void call_route(std::uint64_t connection, route_call call, absl::Time now);
    void send_to_router(std::uint64_t connection, flow_event event, open_answer answer,
                        std::size_t max_events, absl::Time now);
    void deliver(std::uint64_t connection, absl::Time now);
    // Returns false once the answer has ended.
    bool deliver_event(std::uint64_t connection, open_answer& answer, const answer_event& event,
                       absl::Time now);
    void refuse(std::uint64_t connection, const error& reason, outcome result, absl::Time now);
    void report_disconnects();
    void run_periodic_tasks(absl::Time now);
    void finish(absl::Time now);

    options m_options;
    forward::poller m_poller;
    forward::caller_side m_callers;
    std::shared_ptr<ready_answers> m_ready;
    std::shared_ptr<route_replies> m_replies;
    absl::flat_hash_map<std::uint64_t, open_answer> m_answers;
    // Connections that wait for the reply of a route worker.
    std::size_t m_open_calls = 0;
    // Events for the router that found its ring full.
    std::deque<flow_event> m_unsent_events;
    int m_listener = -1;
    absl::Time m_next_periodic_run = absl::InfinitePast();
    std::atomic<bool> m_stopping = false;
};

} // namespace chivedeal::requests

#endif
