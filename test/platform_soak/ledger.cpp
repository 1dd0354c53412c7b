#include "test/platform_soak/ledger.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <mutex>

namespace chivedeal::soak {

namespace {

// The platform's bounds.
constexpr absl::Duration drain_time = absl::Milliseconds(2500);
constexpr absl::Duration contact_time = absl::Seconds(4);
constexpr std::size_t max_crashes = 5;
constexpr int max_deadly_arrivals = 3;
constexpr int max_arrivals_in_pause = 2;
constexpr double min_calm_success = 0.95;
constexpr std::size_t max_violations = 20;

} // namespace

void ledger::add_violation(std::string promise)
{
    if (m_violations.size() < max_violations)
        m_violations.push_back(std::move(promise));
}

void ledger::fail(const std::string& promise)
{
    const std::lock_guard<mutex> lock(m_mutex);
    add_violation(promise);
}

void ledger::on_endpoint_disturbed(const std::string& endpoint, absl::Time end)
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_endpoint_disturbed_until[endpoint] = end;
}

void ledger::end_disturbances(absl::Time now)
{
    const std::lock_guard<mutex> lock(m_mutex);
    for (auto& [endpoint, end] : m_endpoint_disturbed_until)
        end = std::min(end, now);
}

void ledger::on_run(const sent_request& request, const std::string& endpoint)
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_run_endpoints[request.id] = endpoint;
    const int runs = ++m_runs[request.id];
    if (runs > 1 && !request.repeatable)
        add_violation(absl::StrCat("TWICE: request ", request.id, " ran ", runs, " times"));
    if (m_refused[request.id])
        add_violation(absl::StrCat("REFUSED: request ", request.id, " ran after it was refused"));
}

void ledger::on_arrival(const std::string& endpoint, const sent_request& request, absl::Time now)
{
    const std::lock_guard<mutex> lock(m_mutex);
    const node_and_endpoint path(request.node, endpoint);
    const auto leaving = m_leaving_passed_on.find(path);
    if (leaving != m_leaving_passed_on.end() && request.sent_at > leaving->second + drain_time)
        add_violation(absl::StrCat("DRAIN: request ", request.id, " sent ",
                                   absl::FormatDuration(request.sent_at - leaving->second),
                                   " after ", request.node, " passed on that ", endpoint,
                                   " leaves"));
    const auto paused = m_pauses.find(path);
    if (paused != m_pauses.end() && request.sent_at > paused->second.passed_on_at &&
        now < paused->second.retry_at && ++paused->second.arrivals > max_arrivals_in_pause)
        add_violation(absl::StrCat("BUDGET: ", paused->second.arrivals, " requests reached ",
                                   endpoint, " from ", request.node, " before its retry time"));
    if (!request.deadly || m_crashes.size() < max_crashes)
        return;
    const auto disturbed = m_disturbed_at.find(request.node);
    const bool in_touch =
        disturbed == m_disturbed_at.end() || request.sent_at - disturbed->second > contact_time;
    if (in_touch && request.sent_at > m_crashes[max_crashes - 1] + contact_time &&
        ++m_late_deadly_arrivals > max_deadly_arrivals)
        add_violation(absl::StrCat("BUDGET: deadly request ", request.id, " from ", request.node,
                                   " is the ", m_late_deadly_arrivals, "th after ", max_crashes,
                                   " crashes"));
}

void ledger::on_crash(absl::Time now)
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_crashes.push_back(now);
    ++m_total_crashes;
}

void ledger::on_answer(const sent_request& request, int status, bool whole, absl::Time now)
{
    const std::lock_guard<mutex> lock(m_mutex);
    // The node has read the endpoints' refusals before it answered.
    for (const auto& [endpoint, retry_at] : m_turned_away[request.id]) {
        m_pauses[{request.node, endpoint}] = {.passed_on_at = now, .retry_at = retry_at};
        ++m_pause_count;
    }
    m_turned_away.erase(request.id);
    ++m_answers;
    const bool success = status == 200 && whole;
    m_successes += success ? 1 : 0;
    if (m_calm && !request.deadly) {
        ++m_calm_answers;
        m_calm_successes += success ? 1 : 0;
    }
    if (status == 200 && !whole)
        add_violation(absl::StrCat("MIXED: request ", request.id, " got another or partial body"));
    if ((status == 503 || status == 429) && !request.repeatable) {
        m_refused[request.id] = true;
        if (m_runs[request.id] > 0)
            add_violation(
                absl::StrCat("REFUSED: request ", request.id, " was refused and had run"));
    }
}

void ledger::on_leaving_passed_on(const std::string& node, const std::string& endpoint,
                                  absl::Time now)
{
    const std::lock_guard<mutex> lock(m_mutex);
    if (m_leaving_passed_on.emplace(node_and_endpoint(node, endpoint), now).second)
        ++m_leaving_count;
}

void ledger::on_turned_away(const std::string& endpoint, const sent_request& request,
                            absl::Time retry_at)
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_turned_away[request.id][endpoint] = retry_at;
}

void ledger::on_cut_off_by_graceful_stop(const sent_request& request, bool is_stream)
{
    const std::lock_guard<mutex> lock(m_mutex);
    const bool endpoint_may_have_crashed =
        !m_crashes.empty() && m_crashes.back() + contact_time > request.sent_at;
    const auto disturbed = m_endpoint_disturbed_until.find(m_run_endpoints[request.id]);
    // A plain request whose endpoint breaks off still gets a response from the node.
    const bool endpoint_may_have_broken_off = is_stream &&
                                              disturbed != m_endpoint_disturbed_until.end() &&
                                              disturbed->second + contact_time > request.sent_at;
    if (m_runs[request.id] > 0 && !endpoint_may_have_crashed && !endpoint_may_have_broken_off)
        add_violation(absl::StrCat("LOST: request ", request.id, " was cut off by the stop of ",
                                   request.node));
}

void ledger::on_node_disturbed(const std::string& node, absl::Time now)
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_disturbed_at[node] = now;
    for (auto entry = m_leaving_passed_on.begin(); entry != m_leaving_passed_on.end();)
        entry = entry->first.first == node ? m_leaving_passed_on.erase(entry) : std::next(entry);
    for (auto entry = m_pauses.begin(); entry != m_pauses.end();)
        entry = entry->first.first == node ? m_pauses.erase(entry) : std::next(entry);
}

void ledger::on_all_nodes_killed()
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_crashes.clear();
    m_late_deadly_arrivals = 0;
}

void ledger::begin_calm()
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_calm = true;
}

void ledger::end_calm()
{
    const std::lock_guard<mutex> lock(m_mutex);
    m_calm = false;
    if (m_calm_answers == 0 || m_calm_successes < min_calm_success * m_calm_answers)
        add_violation(absl::StrCat("LOST: ", m_calm_successes, " of ", m_calm_answers,
                                   " requests served after the faults"));
}

std::vector<std::string> ledger::violations() const
{
    const std::lock_guard<mutex> lock(m_mutex);
    return m_violations;
}

std::string ledger::summary() const
{
    const std::lock_guard<mutex> lock(m_mutex);
    return absl::StrCat(m_successes, " of ", m_answers, " served, ", m_calm_successes, " of ",
                        m_calm_answers, " after the faults; ", m_total_crashes, " crashes, ",
                        m_leaving_count, " leavings and ", m_pause_count, " pauses passed on");
}

} // namespace chivedeal::soak
