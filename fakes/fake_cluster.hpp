#ifndef FAKES_FAKE_CLUSTER_HPP
#define FAKES_FAKE_CLUSTER_HPP

#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/requests/least_outstanding_policy.hpp"
#include "chivedeal/requests/request_flow.hpp"
#include "chivedeal/state/cluster_state.hpp"
#include "fakes/fake_claim_log.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chivedeal::fakes {

/// Request flows of several nodes with scripted endpoints and callers and a shared claims log. The
/// test decides which event comes next; the fake records what callers receive and checks it against
/// the guarantees of the request flow.
class fake_cluster
{
public:
    /// Length of every complete answer, in tokens.
    static constexpr std::uint64_t answer_tokens = 4;

    struct attempt
    {
        std::size_t node = 0;
        requests::attempt_start start;
        std::uint64_t position = 0;
        bool started = false;
        bool over = false;
        bool cancelled = false;
    };

    struct connection
    {
        std::size_t node = 0;
        request_id request;
        std::uint64_t first_position = 0;
        std::vector<std::string> tokens;
        std::optional<requests::answer_end> end;
        std::optional<address> moved;
        /// Whether the caller or the node closed the connection.
        bool closed = false;
    };

    struct submission
    {
        request_id id;
        std::string key;
        std::set<requests::outcome> outcomes;
    };

    explicit fake_cluster(std::size_t nodes)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            auto added = std::make_unique<node>();
            added->flow = std::make_unique<requests::request_flow>(
                requests::request_flow::options{.policy = added->policy,
                                                .node = node_id(absl::StrCat("n", i)),
                                                .incarnation = "s"});
            m_nodes.push_back(std::move(added));
        }
        publish_state();
        publish_view();
    }

    absl::Time now() const { return m_now; }
    void advance(absl::Duration by) { m_now += by; }

    /// Sends a new request and returns the number of its connection.
    std::size_t submit(std::size_t node_index, const std::string& key, absl::Duration deadline)
    {
        const request_id id(absl::StrCat("r", m_submissions.size()));
        m_submissions.push_back({.id = id, .key = key, .outcomes = {}});
        const std::size_t connection_number = connect(node_index, id, 0);
        deliver(node_index, requests::request_arrived{.request = {.id = id,
                                                                  .workspace = workspace_id("w"),
                                                                  .service = service_id("s"),
                                                                  .route = {},
                                                                  .deadline = m_now + deadline,
                                                                  .idempotency_key = key,
                                                                  .body = id.str(),
                                                                  .prefix = {}},
                                                      .connection = connection_number});
        return connection_number;
    }

    void disconnect(std::size_t connection_number)
    {
        connection& caller = m_connections[connection_number - 1];
        caller.closed = true;
        deliver(caller.node, requests::caller_disconnected{.request = caller.request,
                                                           .connection = connection_number});
    }

    /// Reconnects at a node for the tokens that the previous connection did not receive. Returns
    /// the number of the new connection.
    std::size_t resume(std::size_t previous_number, std::size_t node_index)
    {
        connection& previous = m_connections[previous_number - 1];
        previous.closed = true;
        const std::uint64_t next = previous.first_position + previous.tokens.size();
        const request_id request = previous.request;
        const std::size_t connection_number = connect(node_index, request, next);
        deliver(node_index, requests::request_resumed{.request = request,
                                                      .connection = connection_number,
                                                      .next_position = next});
        return connection_number;
    }

    void cancel(std::size_t connection_number)
    {
        const connection& open = m_connections[connection_number - 1];
        deliver(open.node, requests::request_cancelled{open.request});
    }

    void start(attempt& current)
    {
        if (current.over)
            return;
        record_run(current);
        report(current, requests::attempt_started{.prompt_tokens = 8, .cached_tokens = 0});
    }

    void send_token(attempt& current, std::uint64_t position)
    {
        if (current.over || !current.started || position >= answer_tokens)
            return;
        current.position = std::max(current.position, position + 1);
        report(current, requests::attempt_token{.position = position,
                                                .text = token_of(current.start.request, position)});
    }

    /// Reports a token of another request that arrived on the connection of `current`, in the form
    /// in which the endpoint client passes it on.
    void send_crossed_token(const attempt& current)
    {
        deliver(current.node,
                requests::attempt_event{.request = current.start.request,
                                        .attempt = 0,
                                        .body = requests::attempt_token{
                                            .position = current.position, .text = "crossed"}});
    }

    /// Sends the end marker if the whole answer was sent.
    void end(attempt& current)
    {
        if (current.over || !current.started || current.position < answer_tokens)
            return;
        current.over = true;
        report(current, requests::attempt_ended{});
    }

    /// Reports a failure; `endpoint_not_started` becomes `endpoint_lost` if the attempt has
    /// started.
    void fail(attempt& current, result_code code)
    {
        if (current.over)
            return;
        if (current.started && code == result_code::endpoint_not_started)
            code = result_code::endpoint_lost;
        if (code != result_code::endpoint_not_started)
            record_run(current);
        current.over = true;
        report(current, requests::attempt_failed{.reason = {.code = code, .message = "scripted"}});
    }

    /// Commits a pending append. With `keep`, it stays pending and may be committed again.
    void commit_append(std::size_t index, bool keep)
    {
        if (m_appends.empty())
            return;
        const auto place =
            m_appends.begin() + static_cast<std::ptrdiff_t>(index % m_appends.size());
        m_log.append(*place);
        if (!keep)
            m_appends.erase(place);
    }

    /// Delivers the next record of the log to a node.
    void read(std::size_t node_index)
    {
        node& reader = *m_nodes[node_index];
        if (reader.read < m_log.records().size())
            deliver(node_index, requests::claim_read_back{m_log.records()[reader.read++]});
    }

    void tick(std::size_t node_index) { deliver(node_index, requests::tick{}); }

    /// Announces that an endpoint will be reclaimed after `left`.
    void mark_leaving(std::size_t endpoint, absl::Duration left = absl::Seconds(30))
    {
        m_leaving.try_emplace(endpoint, m_now + left);
        publish_view();
    }

    /// Completes the oldest pending KV cache transfer.
    void complete_kv_move(bool success)
    {
        if (m_kv_moves.empty())
            return;
        const auto [node_index, move] = m_kv_moves.front();
        m_kv_moves.pop_front();
        deliver(node_index, requests::kv_moved{.request = move.request,
                                               .attempt = move.attempt,
                                               .target = move.target,
                                               .handle = success ? "kv" : ""});
    }

    const std::deque<std::pair<std::size_t, requests::move_kv>>& kv_moves() const
    {
        return m_kv_moves;
    }

    void deliver(std::size_t node_index, const requests::flow_event& event)
    {
        for (const requests::flow_command& command :
             m_nodes[node_index]->flow->handle(event, m_now))
            std::visit([&](const auto& alternative) { execute(node_index, alternative); }, command);
    }

    requests::request_flow& flow(std::size_t node_index) { return *m_nodes[node_index]->flow; }
    std::vector<std::unique_ptr<attempt>>& attempts() { return m_attempts; }
    std::vector<connection>& connections() { return m_connections; }
    const std::vector<submission>& submissions() const { return m_submissions; }
    const std::vector<control::attempt_sample>& samples() const { return m_samples; }
    const std::vector<requests::hand_off_stream>& hand_offs() const { return m_hand_offs; }
    bool refuse_appends = false;
    bool delisted = false;
    bool stopped = false;

    /// Violated guarantees found so far.
    const std::vector<std::string>& violations() const { return m_violations; }

    static std::string token_of(const request_id& request, std::uint64_t position)
    {
        return absl::StrCat(request.str(), ".", position);
    }

private:
    struct node
    {
        requests::least_outstanding_policy policy;
        std::unique_ptr<requests::request_flow> flow;
        std::size_t read = 0;
    };

    static constexpr std::size_t endpoints = 4;

    std::size_t connect(std::size_t node_index, const request_id& request,
                        std::uint64_t first_position)
    {
        m_connections.push_back({.node = node_index,
                                 .request = request,
                                 .first_position = first_position,
                                 .tokens = {},
                                 .end = {},
                                 .moved = {}});
        return m_connections.size();
    }

    std::string key_of(const request_id& request) const
    {
        for (const submission& submitted : m_submissions)
            if (submitted.id == request)
                return submitted.key;
        return {};
    }

    void record_run(attempt& current)
    {
        if (current.started)
            return;
        current.started = true;
        m_run_requests.insert(current.start.request.str());
        const std::string key = key_of(current.start.request);
        if (!key.empty() && !m_run_keys.insert(key).second)
            m_violations.push_back("key ran twice: " + key);
    }

    void report(const attempt& current, requests::attempt_event_body body)
    {
        deliver(current.node, requests::attempt_event{.request = current.start.request,
                                                      .attempt = current.start.attempt,
                                                      .body = std::move(body)});
    }

    void execute(std::size_t node_index, const requests::attempt_start& start)
    {
        auto added = std::make_unique<attempt>();
        added->node = node_index;
        added->start = start;
        added->position = start.tokens_so_far.size();
        m_attempts.push_back(std::move(added));
    }

    void execute(std::size_t node_index, const requests::cancel_attempt& order)
    {
        for (const auto& candidate : m_attempts)
            if (candidate->node == node_index && candidate->start.request == order.request &&
                candidate->start.attempt == order.attempt)
                candidate->cancelled = true;
    }

    void execute(std::size_t /*node_index*/, const requests::send_answer& answer)
    {
        connection& to = m_connections[answer.connection - 1];
        if (to.end || to.moved)
            m_violations.push_back("event sent after the end: " + answer.request.str());
        if (const auto* moved = std::get_if<requests::answer_moved>(&answer.event))
            to.moved = moved->peer;
        else if (const auto* end = std::get_if<requests::answer_end>(&answer.event))
            record_end(to, *end);
        else
            record_token(to, std::get<requests::answer_token>(answer.event));
    }

    void record_token(connection& to, const requests::answer_token& token)
    {
        // The stored result of a key has the tokens of the request that ran, which may be a
        // different one.
        const bool is_expected =
            token.text == token_of(to.request, token.position) || !key_of(to.request).empty();
        if (token.position != to.first_position + to.tokens.size() || !is_expected)
            m_violations.push_back("wrong token: " + to.request.str() + " " + token.text);
        to.tokens.push_back(token.text);
    }

    void record_end(connection& to, const requests::answer_end& end)
    {
        to.end = end;
        const std::string key = key_of(to.request);
        if (end.result == requests::outcome::not_run &&
            (m_run_requests.contains(to.request.str()) ||
             (!key.empty() && m_run_keys.contains(key))))
            m_violations.push_back("reported as not run although it ran: " + to.request.str());
        if (end.result == requests::outcome::answered &&
            to.first_position + to.tokens.size() != answer_tokens)
            m_violations.push_back("incomplete answer reported as answered: " + to.request.str());
        if (end.reason.code == result_code::unknown_request)
            return;
        for (submission& submitted : m_submissions)
            if (submitted.id == to.request)
                submitted.outcomes.insert(end.result);
    }

    void execute(std::size_t /*node_index*/, const requests::drop_connection& command)
    {
        m_connections[command.connection - 1].closed = true;
    }

    void execute(std::size_t node_index, const requests::move_kv& move)
    {
        m_kv_moves.emplace_back(node_index, move);
    }

    void execute(std::size_t node_index, const requests::append_record& append)
    {
        const auto* claim = std::get_if<state::claim>(&append.entry.body);
        if (refuse_appends && claim != nullptr)
            deliver(node_index,
                    requests::claim_refused{
                        .key = claim->key,
                        .reason = {.code = result_code::log_unavailable, .message = "scripted"}});
        else
            m_appends.push_back(append.entry);
    }

    void execute(std::size_t /*node_index*/, const requests::hand_off_stream& order)
    {
        m_hand_offs.push_back(order);
    }

    void execute(std::size_t /*node_index*/, const requests::add_sample& add)
    {
        m_samples.push_back(add.sample);
    }

    void execute(std::size_t /*node_index*/, const requests::announce_leaving& /*command*/)
    {
        delisted = true;
    }
    void execute(std::size_t /*node_index*/, const requests::stop_node& /*command*/)
    {
        stopped = true;
    }

    void publish_state()
    {
        state::cluster_state state;
        state.services[service_id("s")] =
            std::make_shared<const state::service>(state::service{.name = service_id("s")});
        state.workspaces[workspace_id("w")] =
            std::make_shared<const state::workspace>(state::workspace{.name = workspace_id("w"),
                                                                      .team = {},
                                                                      .rate = 1e6,
                                                                      .burst = 1e6,
                                                                      .concurrency = 1'000'000});
        const auto shared = std::make_shared<const state::cluster_state>(state);
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            deliver(i, requests::state_changed{shared});
    }

    void publish_view()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            membership::membership_view view;
            view.self = node_id(absl::StrCat("n", i));
            for (std::size_t other = 0; other < m_nodes.size(); ++other)
                view.nodes.push_back(
                    {.id = node_id(absl::StrCat("n", other)),
                     .http = {.host = "127.0.0.1", .port = static_cast<std::uint16_t>(other + 1)},
                     .ready = true});
            for (std::size_t index = 0; index < endpoints; ++index) {
                membership::endpoint listed{.id = endpoint_id(absl::StrCat("e", index)),
                                            .zone = zone_id(absl::StrCat("z", index % 2)),
                                            .service = service_id("s")};
                if (const auto left = m_leaving.find(index); left != m_leaving.end()) {
                    listed.status = membership::endpoint_status::leaving;
                    listed.reclaim_at = left->second;
                }
                view.endpoints.push_back(listed);
            }
            deliver(i, requests::view_changed{
                           std::make_shared<const membership::membership_view>(view)});
        }
    }

    absl::Time m_now = absl::FromUnixSeconds(1'000'000);
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<std::unique_ptr<attempt>> m_attempts;
    std::vector<connection> m_connections;
    std::vector<submission> m_submissions;
    std::vector<state::record> m_appends;
    std::deque<std::pair<std::size_t, requests::move_kv>> m_kv_moves;
    std::vector<requests::hand_off_stream> m_hand_offs;
    std::vector<control::attempt_sample> m_samples;
    fake_claim_log m_log;
    std::map<std::size_t, absl::Time> m_leaving;
    std::set<std::string> m_run_requests;
    std::set<std::string> m_run_keys;
    std::vector<std::string> m_violations;
};

} // namespace chivedeal::fakes

#endif
