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

/// Request flows of several nodes with scripted endpoints, callers and one claims log. A test
/// decides what happens next; the fake keeps the account that the promises are checked against.
class fake_cluster
{
public:
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
        std::uint64_t first = 0;
        std::vector<std::string> tokens;
        std::optional<requests::answer_end> end;
        std::optional<address> moved;
        /// The caller or the node closed it.
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
            added->flow = std::make_unique<requests::request_flow>(requests::request_flow::options{
                .policy = added->policy, .node = node_id(absl::StrCat("n", i)), .series = "s"});
            m_nodes.push_back(std::move(added));
        }
        publish_state();
        publish_view();
    }

    absl::Time now() const { return m_now; }
    void advance(absl::Duration by) { m_now += by; }

    std::size_t submit(std::size_t on, const std::string& key, absl::Duration deadline)
    {
        const request_id id(absl::StrCat("r", m_submissions.size()));
        m_submissions.push_back({.id = id, .key = key, .outcomes = {}});
        const std::size_t number = connect(on, id, 0);
        give(on, requests::request_arrived{.request = {.id = id,
                                                       .workspace = workspace_id("w"),
                                                       .service = service_id("s"),
                                                       .route = {},
                                                       .deadline = m_now + deadline,
                                                       .idempotency_key = key,
                                                       .body = id.str(),
                                                       .prefix = {}},
                                           .connection = number});
        return number;
    }

    void leave(std::size_t number)
    {
        connection& left = m_connections[number - 1];
        left.closed = true;
        give(left.node, requests::caller_left{.request = left.request, .connection = number});
    }

    /// Comes back at `on` for what the earlier connection did not get.
    std::size_t resume(std::size_t earlier, std::size_t on)
    {
        connection& before = m_connections[earlier - 1];
        before.closed = true;
        const std::uint64_t next = before.first + before.tokens.size();
        const request_id request = before.request;
        const std::size_t number = connect(on, request, next);
        give(on, requests::request_resumed{
                     .request = request, .connection = number, .next_position = next});
        return number;
    }

    void cancel(std::size_t number)
    {
        const connection& one = m_connections[number - 1];
        give(one.node, requests::request_cancelled{one.request});
    }

    void start(attempt& one)
    {
        if (one.over)
            return;
        note_run(one);
        report(one, requests::attempt_started{.prompt_tokens = 8, .cached_tokens = 0});
    }

    void send_token(attempt& one, std::uint64_t position)
    {
        if (one.over || !one.started || position >= answer_tokens)
            return;
        one.position = std::max(one.position, position + 1);
        report(one, requests::attempt_token{.position = position,
                                            .text = token_of(one.start.request, position)});
    }

    /// Sends a token of another request on this one's connection, as the endpoint client passes it on.
    void send_crossed_token(const attempt& one)
    {
        give(one.node, requests::attempt_event{.request = one.start.request,
                                               .attempt = 0,
                                               .body = requests::attempt_token{
                                                   .position = one.position, .text = "crossed"}});
    }

    /// Sends the end marker, and only after the whole answer.
    void end(attempt& one)
    {
        if (one.over || !one.started || one.position < answer_tokens)
            return;
        one.over = true;
        report(one, requests::attempt_ended{});
    }

    /// `endpoint_not_started` of an attempt that started is told as lost.
    void fail(attempt& one, result_code code)
    {
        if (one.over)
            return;
        if (one.started && code == result_code::endpoint_not_started)
            code = result_code::endpoint_lost;
        if (code != result_code::endpoint_not_started)
            note_run(one);
        one.over = true;
        report(one, requests::attempt_failed{.reason = {.code = code, .message = "scripted"}});
    }

    /// Commits an append that is under way; the others stay there.
    void commit(std::size_t index, bool keep)
    {
        if (m_appends.empty())
            return;
        const auto place =
            m_appends.begin() + static_cast<std::ptrdiff_t>(index % m_appends.size());
        m_log.append(*place);
        if (!keep)
            m_appends.erase(place);
    }

    /// Lets a node read the next record of the log.
    void read(std::size_t on)
    {
        node& reader = *m_nodes[on];
        if (reader.read < m_log.records().size())
            give(on, requests::claim_read_back{m_log.records()[reader.read++]});
    }

    void tick(std::size_t on) { give(on, requests::tick{}); }

    void set_leaving(std::size_t endpoint, absl::Duration left = absl::Seconds(30))
    {
        m_leaving.try_emplace(endpoint, m_now + left);
        publish_view();
    }

    /// Answers the oldest transfer of a KV cache that is under way.
    void answer_kv(bool moved)
    {
        if (m_kv.empty())
            return;
        const auto [on, order] = m_kv.front();
        m_kv.pop_front();
        give(on, requests::kv_moved{.request = order.request,
                                    .attempt = order.attempt,
                                    .target = order.target,
                                    .handle = moved ? "kv" : ""});
    }

    const std::deque<std::pair<std::size_t, requests::move_kv>>& transfers() const { return m_kv; }

    void give(std::size_t on, const requests::flow_event& event)
    {
        for (const requests::flow_command& command : m_nodes[on]->flow->handle(event, m_now))
            std::visit([&](const auto& one) { execute(on, one); }, command);
    }

    requests::request_flow& flow(std::size_t on) { return *m_nodes[on]->flow; }
    std::vector<std::unique_ptr<attempt>>& attempts() { return m_attempts; }
    std::vector<connection>& connections() { return m_connections; }
    const std::vector<submission>& submissions() const { return m_submissions; }
    const std::vector<control::attempt_sample>& samples() const { return m_samples; }
    const std::vector<requests::hand_off_stream>& hand_offs() const { return m_hand_offs; }
    bool refuse_appends = false;
    bool delisted = false;
    bool stopped = false;

    /// Faults against the promises, found while the script ran.
    const std::vector<std::string>& faults() const { return m_faults; }

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

    std::size_t connect(std::size_t on, const request_id& request, std::uint64_t first)
    {
        m_connections.push_back(
            {.node = on, .request = request, .first = first, .tokens = {}, .end = {}, .moved = {}});
        return m_connections.size();
    }

    std::string key_of(const request_id& request) const
    {
        for (const submission& one : m_submissions)
            if (one.id == request)
                return one.key;
        return {};
    }

    void note_run(attempt& one)
    {
        if (one.started)
            return;
        one.started = true;
        m_ran.insert(one.start.request.str());
        const std::string key = key_of(one.start.request);
        if (!key.empty() && !m_ran_keys.insert(key).second)
            m_faults.push_back("ran twice: " + key);
    }

    void report(const attempt& one, requests::attempt_event_body body)
    {
        give(one.node, requests::attempt_event{.request = one.start.request,
                                               .attempt = one.start.attempt,
                                               .body = std::move(body)});
    }

    void execute(std::size_t on, const requests::attempt_start& start)
    {
        auto added = std::make_unique<attempt>();
        added->node = on;
        added->start = start;
        added->position = start.tokens_so_far.size();
        m_attempts.push_back(std::move(added));
    }

    void execute(std::size_t on, const requests::cancel_attempt& order)
    {
        for (const auto& one : m_attempts)
            if (one->node == on && one->start.request == order.request &&
                one->start.attempt == order.attempt)
                one->cancelled = true;
    }

    void execute(std::size_t /*on*/, const requests::send_answer& answer)
    {
        connection& to = m_connections[answer.connection - 1];
        if (to.end || to.moved)
            m_faults.push_back("told after its end: " + answer.request.str());
        if (const auto* moved = std::get_if<requests::answer_moved>(&answer.event))
            to.moved = moved->peer;
        else if (const auto* end = std::get_if<requests::answer_end>(&answer.event))
            note_end(to, *end);
        else
            note_token(to, std::get<requests::answer_token>(answer.event));
    }

    void note_token(connection& to, const requests::answer_token& token)
    {
        // The stored result of a key was computed under the identifier of another request.
        const bool right =
            token.text == token_of(to.request, token.position) || !key_of(to.request).empty();
        if (token.position != to.first + to.tokens.size() || !right)
            m_faults.push_back("wrong token: " + to.request.str() + " " + token.text);
        to.tokens.push_back(token.text);
    }

    void note_end(connection& to, const requests::answer_end& end)
    {
        to.end = end;
        const std::string key = key_of(to.request);
        if (end.result == requests::outcome::not_run &&
            (m_ran.contains(to.request.str()) || (!key.empty() && m_ran_keys.contains(key))))
            m_faults.push_back("told as not run: " + to.request.str());
        if (end.result == requests::outcome::answered &&
            to.first + to.tokens.size() != answer_tokens)
            m_faults.push_back("answered in part: " + to.request.str());
        if (end.reason.code == result_code::unknown_request)
            return;
        for (submission& one : m_submissions)
            if (one.id == to.request)
                one.outcomes.insert(end.result);
    }

    void execute(std::size_t /*on*/, const requests::drop_connection& command)
    {
        m_connections[command.connection - 1].closed = true;
    }

    void execute(std::size_t on, const requests::move_kv& order) { m_kv.emplace_back(on, order); }

    void execute(std::size_t on, const requests::append_record& append)
    {
        const auto* claim = std::get_if<state::claim>(&append.entry.body);
        if (refuse_appends && claim != nullptr)
            give(on, requests::claim_refused{
                         .key = claim->key,
                         .reason = {.code = result_code::log_unavailable, .message = "scripted"}});
        else
            m_appends.push_back(append.entry);
    }

    void execute(std::size_t /*on*/, const requests::hand_off_stream& order)
    {
        m_hand_offs.push_back(order);
    }

    void execute(std::size_t /*on*/, const requests::add_sample& add)
    {
        m_samples.push_back(add.sample);
    }

    void execute(std::size_t /*on*/, const requests::delist_node& /*command*/) { delisted = true; }
    void execute(std::size_t /*on*/, const requests::stop_node& /*command*/) { stopped = true; }

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
            give(i, requests::state_changed{shared});
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
            for (std::size_t one = 0; one < endpoints; ++one) {
                membership::endpoint listed{.id = endpoint_id(absl::StrCat("e", one)),
                                            .zone = zone_id(absl::StrCat("z", one % 2)),
                                            .service = service_id("s")};
                if (const auto left = m_leaving.find(one); left != m_leaving.end()) {
                    listed.status = membership::endpoint_status::leaving;
                    listed.reclaim_at = left->second;
                }
                view.endpoints.push_back(listed);
            }
            give(i,
                 requests::view_changed{std::make_shared<const membership::membership_view>(view)});
        }
    }

    absl::Time m_now = absl::FromUnixSeconds(1'000'000);
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<std::unique_ptr<attempt>> m_attempts;
    std::vector<connection> m_connections;
    std::vector<submission> m_submissions;
    std::vector<state::record> m_appends;
    std::deque<std::pair<std::size_t, requests::move_kv>> m_kv;
    std::vector<requests::hand_off_stream> m_hand_offs;
    std::vector<control::attempt_sample> m_samples;
    fake_claim_log m_log;
    std::map<std::size_t, absl::Time> m_leaving;
    std::set<std::string> m_ran;
    std::set<std::string> m_ran_keys;
    std::vector<std::string> m_faults;
};

} // namespace chivedeal::fakes

#endif
