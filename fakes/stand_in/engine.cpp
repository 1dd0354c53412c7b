// Stand-in of a model engine. Tokens follow from the prompt and the position alone, so that a
// resumed answer can be compared with an undisturbed one.

#include "chivedeal/core/condition.hpp"
#include "chivedeal/requests/prompt_prefix.hpp"
#include "fakes/stand_in/stand_in.hpp"

#include "absl/strings/str_cat.h"

#include <xxhash.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace {

using namespace chivedeal;        // NOLINT(google-build-using-namespace)
using namespace chivedeal::fakes; // NOLINT(google-build-using-namespace)
using steady = std::chrono::steady_clock;

constexpr const char* json_type = "application/json";
constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t kv_bytes_per_token = 131'072;
// Older events are dropped, which the reader sees as a gap.
constexpr std::size_t kept_cache_events = 256;

struct engine_options
{
    stand_in_options self;
    double token_ms = 5;
    double prefill_tokens_per_s = 20'000;
    int slots = 16;
    std::size_t kv_limit_tokens = 100'000;
    double cache_event_delay_ms = 200;
    bool check_fencing = false;
};

std::string token_of(const std::string& prompt, std::uint64_t position)
{
    const std::uint64_t hash = XXH3_64bits_withSeed(prompt.data(), prompt.size(), position);
    return absl::StrCat("t", absl::Hex(hash & 0xffffff));
}

std::size_t common_tokens(const std::string& left, const std::string& right)
{
    const auto end = std::mismatch(left.begin(), left.end(), right.begin(), right.end());
    return static_cast<std::size_t>(end.first - left.begin()) / bytes_per_token;
}

struct run
{
    std::string request;
    int attempt = 0;
    std::string prompt;
    std::string route;
    int priority = 5;
    std::uint64_t order = 0;
    std::uint64_t position = 0;
    std::uint64_t max_tokens = 0;
    bool has_kv = false;
    bool cancelled = false;
};

struct load_sample
{
    steady::time_point at;
    int running = 0;
    int queued = 0;
    std::size_t kv_used = 0;
};

struct cache_event
{
    steady::time_point visible_at;
    json body;
};

class engine
{
public:
    explicit engine(engine_options options) : m_options(std::move(options))
    {
        m_loaded = {{"version", m_options.self.version},
                    {"model", ""},
                    {"adapter", ""},
                    {"role", "serve"},
                    {"fence", 0}};
    }

    void install(httplib::Server& server)
    {
        m_faults.install(server);
        const auto post = [&](const char* path, auto handler) {
            server.Post(path, [this, handler](const auto& request, auto& answer) {
                const json body = json::parse(request.body, nullptr, false);
                (this->*handler)(body.is_object() ? body : json::object(), answer);
            });
        };
        post("/v1/generate", &engine::generate);
        post("/v1/cancel", &engine::cancel);
        post("/v1/orders", &engine::order);
        post("/v1/kv/export", &engine::export_kv);
        post("/v1/kv/import", &engine::import_kv);
        server.Get("/v1/kv", [this](const auto& request, auto& answer) {
            const std::lock_guard<mutex> lock(m_mutex);
            answer.status = m_exported.contains(request.get_param_value("handle")) ? 200 : 404;
        });
        server.Get("/v1/load", [this](const auto&, auto& answer) { load(answer); });
        server.Get("/v1/cache-events", [this](const auto& request, auto& answer) {
            cache_events(std::strtoull(request.get_param_value("after").c_str(), nullptr, 10),
                         answer);
        });
        server.Get("/v1/orders", [this](const auto&, auto& answer) {
            const std::lock_guard<mutex> lock(m_mutex);
            json loaded = json::array();
            if (m_loaded["version"] != "")
                loaded.push_back(m_loaded["version"]);
            answer.set_content(json{{"loaded", loaded}}.dump(), json_type);
        });
        server.Get("/runs", [this](const auto&, auto& answer) {
            answer.set_content(json{{"requests", m_runs.counts()}}.dump(), json_type);
        });
    }

private:
    void generate(const json& body, httplib::Response& answer)
    {
        auto one = std::make_shared<run>();
        one->request = body.value("request_id", "");
        one->attempt = body.value("attempt", 0);
        one->prompt = body.value("prompt", "");
        one->route = body.value("route", "");
        one->priority = body.value("priority", 5);
        one->position = body.value("tokens_so_far", json::array()).size();
        one->max_tokens = body.value("max_tokens", std::uint64_t{16});
        if (m_faults.is_set("refuse_start")) {
            answer.status = 503;
            answer.set_content(json{{"not_started", true}}.dump(), json_type);
            return;
        }
        {
            const std::lock_guard<mutex> lock(m_mutex);
            one->has_kv = m_imported.contains(body.value("kv_handle", ""));
            one->order = ++m_order;
            m_open.insert(one);
        }
        answer.set_chunked_content_provider(
            "text/event-stream",
            [this, one](std::size_t, httplib::DataSink& sink) { return stream(*one, sink); },
            [this, one](bool) {
                const std::lock_guard<mutex> lock(m_mutex);
                m_open.erase(one);
            });
    }

    bool stream(run& one, httplib::DataSink& sink)
    {
        if (!take_slot(one))
            return false;
        m_runs.add(one.request);
        const bool whole = stream_in_slot(one, sink);
        const std::lock_guard<mutex> lock(m_mutex);
        --m_running;
        record_load();
        m_changed.notify_all();
        return whole;
    }

    bool stream_in_slot(run& one, httplib::DataSink& sink)
    {
        const std::size_t prompt_tokens = one.prompt.size() / bytes_per_token + 1;
        const std::size_t cached = one.has_kv ? prompt_tokens : look_up(one.prompt);
        const std::size_t computed =
            prompt_tokens - cached + (one.has_kv ? 0 : static_cast<std::size_t>(one.position));
        double wait_ms = 1000.0 * static_cast<double>(computed) / m_options.prefill_tokens_per_s;
        if (is_slow())
            wait_ms += m_faults.number("slow_ms");
        if (!wait(one, wait_ms))
            return false;
        if (!m_faults.is_set("lose_answer") &&
            !write(sink, absl::StrCat("event: start\ndata: ",
                                      json{{"request_id", one.request},
                                           {"attempt", one.attempt},
                                           {"prompt_tokens", prompt_tokens},
                                           {"cached_tokens", cached}}
                                          .dump(),
                                      "\n\n")))
            return false;
        remember(one.prompt);
        if (m_faults.fails(one.route))
            return write(sink, "event: error\ndata: failed by a fault\n\n") && done(sink);
        if (!stream_tokens(one, sink) || m_faults.is_set("lose_answer"))
            return false;
        return write(sink, "event: end\ndata: {}\n\n") && done(sink);
    }

    bool stream_tokens(run& one, httplib::DataSink& sink)
    {
        for (; one.position < one.max_tokens; ++one.position) {
            const auto position = static_cast<double>(one.position);
            if (!wait(one, m_options.token_ms) || m_faults.number("die_at_token", -1) == position)
                return false;
            if (m_faults.is_set("lose_answer"))
                continue;
            // Names the request, so that a crossed token can be told from an own one.
            const std::string own =
                format_token(one.position, one.request, one.attempt, one.prompt);
            if (m_faults.is_set("crossed_tokens") &&
                !write(sink, format_token(one.position, "crossed", 1, "crossed")))
                return false;
            if (!write(sink, own) || (m_faults.is_set("duplicate_tokens") && !write(sink, own)))
                return false;
        }
        return true;
    }

    static std::string format_token(std::uint64_t position, const std::string& request, int attempt,
                                    const std::string& prompt)
    {
        return absl::StrCat("id: ", position, " ", attempt, " ", request,
                            "\ndata: ", token_of(prompt, position), "\n\n");
    }

    static bool write(httplib::DataSink& sink, const std::string& text)
    {
        return sink.write(text.data(), text.size());
    }

    static bool done(httplib::DataSink& sink)
    {
        sink.done();
        return true;
    }

    // Waits for a slot by priority, then by arrival. Returns false when cancelled first.
    bool take_slot(run& one)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        const auto place = std::pair(one.priority, one.order);
        m_queue.insert(place);
        record_load();
        while (!one.cancelled && (m_running >= m_options.slots || *m_queue.begin() != place))
            m_changed.wait(m_mutex);
        m_queue.erase(place);
        if (!one.cancelled)
            ++m_running;
        record_load();
        m_changed.notify_all();
        return !one.cancelled;
    }

    bool wait(const run& one, double wait_ms)
    {
        const auto until = steady::now() + std::chrono::duration<double, std::milli>(wait_ms);
        const std::lock_guard<mutex> lock(m_mutex);
        while (!one.cancelled) {
            const std::chrono::duration<double> left = until - steady::now();
            if (left.count() <= 0)
                return true;
            m_changed.wait_for(m_mutex, absl::Seconds(left.count()));
        }
        return false;
    }

    bool is_slow()
    {
        const std::lock_guard<mutex> lock(m_mutex);
        return m_running > m_faults.number("slow_above_running");
    }

    std::size_t look_up(const std::string& prompt)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        std::size_t best = 0;
        for (const std::string& cached : m_cache)
            best = std::max(best, common_tokens(cached, prompt));
        return best;
    }

    void remember(const std::string& prompt)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        const auto found = std::find(m_cache.begin(), m_cache.end(), prompt);
        if (found != m_cache.end())
            m_cache.erase(found);
        else
            m_kv_used += prompt.size() / bytes_per_token;
        m_cache.push_back(prompt);
        add_cache_event(prompt, true);
        while (m_kv_used > m_options.kv_limit_tokens && m_cache.size() > 1) {
            m_kv_used -= m_cache.front().size() / bytes_per_token;
            add_cache_event(m_cache.front(), false);
            m_cache.pop_front();
        }
    }

    void add_cache_event(const std::string& prompt, bool cached)
    {
        ++m_cache_seq;
        if (m_faults.is_set("freeze_cache_events"))
            return;
        m_cache_events.push_back({steady::now() + std::chrono::milliseconds(static_cast<int>(
                                                      m_options.cache_event_delay_ms)),
                                  json{{"seq", m_cache_seq},
                                       {"prefix", chivedeal::requests::prompt_prefix(prompt)},
                                       {"tokens", prompt.size() / bytes_per_token},
                                       {"cached", cached}}});
        if (m_cache_events.size() > kept_cache_events)
            m_cache_events.pop_front();
    }

    void cache_events(std::uint64_t after, httplib::Response& answer)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        json events = json::array();
        std::uint64_t first = m_cache_seq + 1;
        std::uint64_t next = after + 1;
        if (!m_cache_events.empty())
            first = m_cache_events.front().body["seq"].get<std::uint64_t>();
        for (const cache_event& event : m_cache_events) {
            const auto seq = event.body["seq"].get<std::uint64_t>();
            if (seq <= after || event.visible_at > steady::now())
                continue;
            events.push_back(event.body);
            next = seq + 1;
        }
        answer.set_content(json{{"first", first}, {"next", next}, {"events", events}}.dump(),
                           json_type);
    }

    void record_load()
    {
        m_loads.push_back({steady::now(), m_running, static_cast<int>(m_queue.size()), m_kv_used});
        if (m_loads.size() > 10'000)
            m_loads.pop_front();
    }

    void load(httplib::Response& answer)
    {
        if (m_faults.is_set("load_missing")) {
            answer.status = 503;
            return;
        }
        const double lag_ms = m_faults.number("load_lag_ms");
        const auto then = steady::now() - std::chrono::duration<double, std::milli>(lag_ms);
        const std::lock_guard<mutex> lock(m_mutex);
        load_sample seen;
        for (const load_sample& sample : m_loads)
            if (sample.at <= then)
                seen = sample;
        answer.set_content(json{{"running", seen.running},
                                {"queued", seen.queued},
                                {"slots", m_options.slots},
                                {"kv_used", seen.kv_used},
                                {"kv_limit", m_options.kv_limit_tokens},
                                {"tokens_per_s", m_options.prefill_tokens_per_s},
                                {"age_ms", lag_ms},
                                {"version", m_loaded["version"]}}
                               .dump(),
                           json_type);
    }

    void cancel(const json& body, httplib::Response& /*answer*/)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        for (const auto& one : m_open)
            if (one->request == body.value("request_id", "") &&
                one->attempt == body.value("attempt", 0))
                one->cancelled = true;
        m_changed.notify_all();
    }

    void order(const json& body, httplib::Response& answer)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        const auto fence = body.value("fence", std::uint64_t{0});
        if (m_options.check_fencing && fence < m_loaded["fence"].get<std::uint64_t>()) {
            answer.status = 409;
            answer.set_content(json{{"error", "stale fence"}}.dump(), json_type);
            return;
        }
        m_loaded["fence"] = fence;
        const std::string what = body.value("order", "");
        if (what == "role")
            m_loaded["role"] = body.value("role", "");
        for (const char* field : {"version", "model", "adapter"})
            if (what == "load")
                m_loaded[field] = body.value(field, "");
            else if (what == "unload")
                m_loaded[field] = "";
        answer.set_content(m_loaded.dump(), json_type);
    }

    void export_kv(const json& body, httplib::Response& answer)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        const std::string request = body.value("request_id", "");
        for (const auto& one : m_open) {
            if (one->request != request)
                continue;
            const std::string handle =
                absl::StrCat(m_options.self.id, "/", request, "/", ++m_order);
            const auto tokens =
                static_cast<std::size_t>(one->position) + one->prompt.size() / bytes_per_token;
            m_exported.insert(handle);
            answer.set_content(
                json{{"kv_handle", handle}, {"bytes", tokens * kv_bytes_per_token}}.dump(),
                json_type);
            return;
        }
        answer.status = 404;
    }

    void import_kv(const json& body, httplib::Response& answer)
    {
        const std::string handle = body.value("kv_handle", "");
        const auto from = parse_address(body.value("from", ""));
        answer.status = 502;
        if (!is_ok(from))
            return;
        httplib::Client source(get_value(from).host, get_value(from).port);
        const auto held =
            source.Get("/v1/kv", httplib::Params{{"handle", handle}}, httplib::Headers{});
        if (!held || held->status != 200)
            return;
        const std::lock_guard<mutex> lock(m_mutex);
        m_imported.insert(handle);
        answer.status = 200;
        answer.set_content("{}", json_type);
    }

    engine_options m_options;
    fault_table m_faults;
    run_counter m_runs;
    mutex m_mutex;
    condition m_changed;
    int m_running = 0;
    std::uint64_t m_order = 0;
    std::set<std::pair<int, std::uint64_t>> m_queue;
    std::set<std::shared_ptr<run>> m_open;
    std::deque<std::string> m_cache;
    std::size_t m_kv_used = 0;
    std::uint64_t m_cache_seq = 0;
    std::deque<cache_event> m_cache_events;
    std::deque<load_sample> m_loads;
    std::set<std::string> m_exported;
    std::set<std::string> m_imported;
    json m_loaded;
};

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    engine_options options;
    po::options_description flags;
    add_options(flags, options.self);
    flags.add_options()("token-ms", po::value(&options.token_ms))(
        "prefill-tokens-per-s", po::value(&options.prefill_tokens_per_s))(
        "slots", po::value(&options.slots))("kv-limit-tokens", po::value(&options.kv_limit_tokens))(
        "cache-event-delay-ms", po::value(&options.cache_event_delay_ms))(
        "check-fencing", po::bool_switch(&options.check_fencing));
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, flags), values);
        po::notify(values);
    }
    catch (const po::error& fault) {
        std::fprintf(stderr, "%s\n", fault.what());
        return 2;
    }
    httplib::Server server;
    engine one(options);
    one.install(server);
    return serve(server, options.self, "engine");
}
