#include "bench/routing_model.hpp"

#include "chivedeal/requests/cache_event_batch.hpp"
#include "chivedeal/requests/load_report.hpp"
#include "chivedeal/requests/route_choice.hpp"
#include "chivedeal/requests/route_query.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <queue>
#include <random>
#include <utility>

namespace chivedeal::bench {

namespace {

using requests::route_choice;
using requests::route_query;

const service_id service("s");
const absl::Time start = absl::FromUnixSeconds(1'000'000);

constexpr int slots = 8;
constexpr double prefill_tokens_per_second = 8000;
constexpr absl::Duration token_gap = absl::Milliseconds(25);
// An engine's cache holds a third of the shared prefixes.
constexpr std::size_t max_cached_prefixes = 12;
constexpr int shared_prefix_count = 36;
constexpr absl::Duration region_latency = absl::Milliseconds(12);
constexpr absl::Duration zone_latency = absl::Milliseconds(1);
constexpr double bytes_per_token = 4;
constexpr absl::Duration report_interval = absl::Milliseconds(500);
// Time until the instance list and the peers' facts show that a zone is lost.
constexpr absl::Duration detection_delay = absl::Seconds(2);
constexpr int model_node_count = 9;

struct model_job
{
    const model_request* request = nullptr;
    std::size_t number = 0;
    route_query query;
    int attempt = 0;
    std::size_t engine = 0;
    bool has_first_token = false;
};

struct engine
{
    const membership::endpoint* info = nullptr;
    bool lost = false;
    std::vector<std::shared_ptr<model_job>> running;
    std::deque<std::shared_ptr<model_job>> queue;
    absl::Time prefill_free_at = start;
    /// Most recently used first.
    std::list<std::string> cache;
    double work = 0;
    std::vector<requests::cache_event> cache_events;
    std::uint64_t next_event = 1;
};

struct timed_event
{
    absl::Time at;
    std::uint64_t order = 0;
    std::function<void()> action;

    bool operator<(const timed_event& other) const
    {
        return std::pair(at, order) > std::pair(other.at, other.order);
    }
};

region_id region_of(int zone) { return region_id("r" + std::to_string(zone / 2)); }
zone_id zone_of(int zone) { return zone_id("z" + std::to_string(zone)); }

} // namespace

class routing_model::simulation
{
public:
    simulation(const routing_model& model, const model_input& input, const make_policy& make);

    model_result run();

private:
    void at(absl::Time when, std::function<void()> action);
    void arrive(const model_request& request, std::size_t number);
    void route(const std::shared_ptr<model_job>& job);
    void arrive_at_engine(const std::shared_ptr<model_job>& job);
    void start_next(std::size_t number);
    void start_prefill(const std::shared_ptr<model_job>& job);
    std::uint64_t use_cache(engine& host, const model_job& job);
    void first_token(const std::shared_ptr<model_job>& job, int attempt);
    void end(const std::shared_ptr<model_job>& job, int attempt);
    void fail(const std::shared_ptr<model_job>& job);
    void publish_reports();
    void lose_zone();
    absl::Duration latency(const model_job& job) const;
    requests::route_policy& policy_of(const model_job& job)
    {
        return *m_policies[job.request->node];
    }

    const routing_model& m_model;
    const model_input& m_input;
    std::vector<std::unique_ptr<requests::route_policy>> m_policies;
    std::vector<engine> m_engines;
    absl::flat_hash_map<endpoint_id, std::size_t> m_numbers;
    absl::flat_hash_set<std::string> m_computed;
    std::priority_queue<timed_event> m_events;
    std::uint64_t m_order = 0;
    absl::Time m_now = start;
    std::size_t m_open = 0;
    model_result m_result;
};

routing_model::simulation::simulation(const routing_model& model, const model_input& input,
                                      const make_policy& make)
    : m_model(model), m_input(input)
{
    for (const membership::node_record& node : model.m_view->nodes) {
        m_policies.push_back(make(node));
        m_policies.back()->on_state(model.m_state);
        m_policies.back()->on_view(model.m_view, start);
    }
    for (const membership::endpoint& each : model.m_view->endpoints) {
        m_numbers[each.id] = m_engines.size();
        m_engines.emplace_back().info = &each;
    }
}

model_result routing_model::simulation::run()
{
    for (std::size_t i = 0; i < m_input.requests.size(); ++i)
        at(start + m_input.requests[i].arrival, [this, i] { arrive(m_input.requests[i], i); });
    m_open = m_input.requests.size();
    if (m_input.report_age != absl::InfiniteDuration())
        publish_reports();
    if (m_input.zone_lost != absl::InfiniteDuration())
        at(start + m_input.zone_lost, [this] { lose_zone(); });
    while (!m_events.empty()) {
        const timed_event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    double highest = 0;
    double total = 0;
    int counted = 0;
    for (const engine& each : m_engines) {
        if (each.lost)
            continue;
        highest = std::max(highest, each.work);
        total += each.work;
        ++counted;
    }
    m_result.work_max_over_mean = highest * counted / total;
    return std::move(m_result);
}

void routing_model::simulation::at(absl::Time when, std::function<void()> action)
{
    m_events.push({.at = when, .order = ++m_order, .action = std::move(action)});
}

void routing_model::simulation::arrive(const model_request& request, std::size_t number)
{
    auto job = std::make_shared<model_job>();
    job->request = &request;
    job->number = number;
    job->query = {.request = request_id("q" + std::to_string(number)),
                  .service = service,
                  .route = {},
                  .prefix = request.prefix,
                  .prompt_tokens = request.prompt_tokens,
                  .excluded = {}};
    route(job);
}

void routing_model::simulation::route(const std::shared_ptr<model_job>& job)
{
    const auto chosen = policy_of(*job).choose(job->query, m_now);
    if (!is_ok(chosen)) {
        ++m_result.refused;
        --m_open;
        return;
    }
    job->engine = m_numbers.at(get_value(chosen).target.id);
    ++job->attempt;
    policy_of(*job).on_attempt_started(m_engines[job->engine].info->id, job->query, m_now);
    const auto& node = m_model.m_view->nodes[job->request->node];
    if (m_engines[job->engine].info->region != node.region)
        m_result.cross_region_bytes +=
            bytes_per_token *
            (static_cast<double>(job->request->prompt_tokens) + job->request->answer_tokens);
    at(m_now + latency(*job), [this, job] { arrive_at_engine(job); });
}

void routing_model::simulation::arrive_at_engine(const std::shared_ptr<model_job>& job)
{
    engine& host = m_engines[job->engine];
    if (host.lost) {
        at(m_now + latency(*job), [this, job] { fail(job); });
        return;
    }
    host.queue.push_back(job);
    start_next(job->engine);
}

void routing_model::simulation::start_next(std::size_t number)
{
    engine& host = m_engines[number];
    while (!host.queue.empty() && host.running.size() < slots) {
        const std::shared_ptr<model_job> next = host.queue.front();
        host.queue.pop_front();
        host.running.push_back(next);
        start_prefill(next);
    }
}

void routing_model::simulation::start_prefill(const std::shared_ptr<model_job>& job)
{
    engine& host = m_engines[job->engine];
    const std::uint64_t cached = use_cache(host, *job);
    const auto computed = static_cast<double>(job->request->prompt_tokens - cached);
    if (!m_computed.insert(job->request->prefix).second)
        m_result.tokens_recomputed += computed;
    host.prefill_free_at =
        std::max(m_now, host.prefill_free_at) + absl::Seconds(computed / prefill_tokens_per_second);
    host.work += computed / prefill_tokens_per_second +
                 absl::ToDoubleSeconds(token_gap) * job->request->answer_tokens;
    const int attempt = job->attempt;
    at(m_now + latency(*job), [this, job, cached, attempt] {
        if (job->attempt == attempt)
            policy_of(*job).on_cached(m_engines[job->engine].info->id, job->query, cached, m_now);
    });
    at(host.prefill_free_at, [this, job, attempt] { first_token(job, attempt); });
}

std::uint64_t routing_model::simulation::use_cache(engine& host, const model_job& job)
{
    const auto found = std::find(host.cache.begin(), host.cache.end(), job.request->prefix);
    const bool hit = found != host.cache.end();
    const auto publish = [&](const std::string& prefix, std::uint64_t tokens) {
        host.cache_events.push_back(
            {.seq = host.next_event++, .prefix = prefix, .tokens = tokens, .cached = tokens > 0});
    };
    if (hit)
        host.cache.erase(found);
    else
        publish(job.request->prefix, job.request->prompt_tokens * 95 / 100);
    host.cache.push_front(job.request->prefix);
    if (host.cache.size() > max_cached_prefixes) {
        publish(host.cache.back(), 0);
        host.cache.pop_back();
    }
    // The last tokens differ between requests with the same prefix.
    return hit ? job.request->prompt_tokens * 95 / 100 : 0;
}

void routing_model::simulation::first_token(const std::shared_ptr<model_job>& job, int attempt)
{
    if (job->attempt != attempt)
        return;
    const absl::Duration took = m_now + latency(*job) - start - job->request->arrival;
    if (!std::exchange(job->has_first_token, true))
        m_result.first_token_ms.push_back(absl::ToDoubleMilliseconds(took));
    at(m_now + job->request->answer_tokens * token_gap,
       [this, job, attempt] { end(job, attempt); });
}

void routing_model::simulation::end(const std::shared_ptr<model_job>& job, int attempt)
{
    if (job->attempt != attempt)
        return;
    engine& host = m_engines[job->engine];
    std::erase(host.running, job);
    start_next(job->engine);
    --m_open;
    at(m_now + latency(*job), [this, job] {
        policy_of(*job).on_attempt_ended(m_engines[job->engine].info->id, job->query, false, m_now);
    });
}

void routing_model::simulation::fail(const std::shared_ptr<model_job>& job)
{
    const endpoint_id& failed = m_engines[job->engine].info->id;
    policy_of(*job).on_attempt_ended(failed, job->query, true, m_now);
    job->query.excluded.insert(failed);
    ++m_result.retries;
    route(job);
}

void routing_model::simulation::publish_reports()
{
    for (engine& each : m_engines) {
        if (each.lost)
            continue;
        requests::load_report report{.endpoint = each.info->id,
                                     .version = each.info->version,
                                     .running = static_cast<int>(each.running.size()),
                                     .queued = static_cast<int>(each.queue.size()),
                                     .slots = slots,
                                     .tokens_per_second = static_cast<double>(each.running.size()) /
                                                          absl::ToDoubleSeconds(token_gap),
                                     .age = m_input.report_age};
        const requests::cache_event_batch events{.endpoint = each.info->id,
                                                 .first = 1,
                                                 .next = each.next_event,
                                                 .events = std::move(each.cache_events)};
        each.cache_events.clear();
        at(m_now + m_input.report_age, [this, report, events] {
            for (const auto& policy : m_policies) {
                policy->on_load(report, m_now);
                policy->on_cache_events(events, m_now);
            }
        });
    }
    if (m_open > 0)
        at(m_now + report_interval, [this] { publish_reports(); });
}

void routing_model::simulation::lose_zone()
{
    auto view = std::make_shared<membership::membership_view>(*m_model.m_view);
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        engine& each = m_engines[i];
        if (each.info->zone != zone_of(0))
            continue;
        each.lost = true;
        std::vector<std::shared_ptr<model_job>> broken(each.queue.begin(), each.queue.end());
        broken.insert(broken.end(), each.running.begin(), each.running.end());
        each.queue.clear();
        each.running.clear();
        for (const auto& job : broken) {
            // Invalidates the events of the failed attempt.
            ++job->attempt;
            at(m_now + latency(*job), [this, job] { fail(job); });
        }
        view->endpoints[i].status = membership::endpoint_status::leaving;
    }
    at(m_now + detection_delay, [this, view] {
        for (const auto& policy : m_policies)
            policy->on_view(view, m_now);
    });
}

absl::Duration routing_model::simulation::latency(const model_job& job) const
{
    const auto& node = m_model.m_view->nodes[job.request->node];
    return m_engines[job.engine].info->region == node.region ? zone_latency : region_latency;
}

routing_model::routing_model(int nodes, int endpoints, int zones)
{
    state::cluster_state state;
    state.services[service] =
        std::make_shared<const state::service>(state::service{.name = service});
    state.current_versions[service] = version_id("v1");
    m_state = std::make_shared<const state::cluster_state>(std::move(state));
    membership::membership_view view;
    for (int i = 0; i < nodes; ++i) {
        membership::node_record node;
        node.id = node_id("n" + std::to_string(i));
        node.region = region_of(i % zones);
        node.zone = zone_of(i % zones);
        view.nodes.push_back(std::move(node));
    }
    for (int i = 0; i < endpoints; ++i) {
        membership::endpoint added;
        added.id = endpoint_id("i-" + std::to_string(100'000 + i));
        added.region = region_of(i % zones);
        added.zone = zone_of(i % zones);
        added.service = service;
        added.version = version_id("v1");
        view.endpoints.push_back(std::move(added));
    }
    m_view = std::make_shared<const membership::membership_view>(std::move(view));
}

model_result routing_model::run(const model_input& input, const make_policy& make) const
{
    return simulation(*this, input, make).run();
}

namespace {

// Generates Poisson arrivals over the length of the run.
std::vector<model_request> arrivals(std::mt19937_64& random, double per_second, double seconds)
{
    std::exponential_distribution<double> gap(per_second);
    std::vector<model_request> requests;
    for (double now = gap(random); now < seconds; now += gap(random))
        requests.push_back({.arrival = absl::Seconds(now),
                            .node = static_cast<int>(random() % model_node_count),
                            .prefix = {},
                            .prompt_tokens = 0,
                            .answer_tokens = 100 + static_cast<int>(random() % 200)});
    return requests;
}

void make_shared_prefix_request(model_request& request, std::mt19937_64& random)
{
    const std::uint64_t number = random() % shared_prefix_count;
    request.prefix = "catalogue " + std::to_string(number);
    request.prompt_tokens = 6000;
}

} // namespace

model_input shared_prefix_load(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    model_input input{.name = "morning", .requests = arrivals(random, 14, 300)};
    for (model_request& each : input.requests)
        make_shared_prefix_request(each, random);
    return input;
}

model_input mixed_load(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    model_input input{.name = "mixed", .requests = arrivals(random, 18, 300)};
    for (std::size_t i = 0; i < input.requests.size(); ++i) {
        model_request& each = input.requests[i];
        if (random() % 3 == 0) {
            make_shared_prefix_request(each, random);
            continue;
        }
        each.prefix = "question " + std::to_string(i);
        each.prompt_tokens = 100 + random() % 1500;
    }
    return input;
}

} // namespace chivedeal::bench
