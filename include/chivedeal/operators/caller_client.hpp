#ifndef CHIVEDEAL_OPERATORS_CALLER_CLIENT_HPP
#define CHIVEDEAL_OPERATORS_CALLER_CLIENT_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/operators/caller_answer.hpp"

#include "absl/time/time.h"

#include <functional>
#include <string>
#include <vector>

namespace chivedeal {
class clock;
}

namespace chivedeal::operators {

/// A caller: asks for addresses, sends one request and follows its answer across nodes.
///
/// A broken connection is resumed by request ID and Last-Event-ID, at the address that a `moved`
/// event names or at any other known one. When no node holds the request any more, an idempotent
/// request is repeated and a non-idempotent one is `unknown`.
///
///     caller_client client({.time = clock, .addresses = {entry}});
///     caller_answer answer = client.send({.service = service_id("catalogue"), .body = body},
///                                        [](std::uint64_t, const std::string&) {});
class caller_client
{
public:
    struct options
    {
        const clock& time;
        /// Nodes to ask for entry addresses.
        std::vector<address> addresses;
        absl::Duration connect_timeout = absl::Seconds(1);
        /// Silence on a stream for this long counts as a broken connection.
        absl::Duration read_timeout = absl::Seconds(10);
        /// Rounds over all known addresses without any progress before the client gives up.
        int max_rounds = 20;
        absl::Duration round_delay = absl::Milliseconds(200);
    };

    struct call
    {
        request_id request;
        service_id service;
        workspace_id workspace;
        /// JSON object.
        std::string body;
        std::string idempotency_key;
        int priority = 5;
        absl::Duration deadline = absl::Seconds(120);
    };

    using token_sink = std::function<void(std::uint64_t position, const std::string& text)>;

    explicit caller_client(options wiring);

    /// Blocks until the request has its outcome. A token's position starts over at 0 when the
    /// request was repeated.
    caller_answer send(const call& request, const token_sink& on_token);

    /// Adds the entry addresses that the known nodes name.
    void refresh_addresses();

    const std::vector<address>& addresses() const { return m_addresses; }

private:
    class conversation;

    options m_options;
    std::vector<address> m_addresses;
};

} // namespace chivedeal::operators

#endif
