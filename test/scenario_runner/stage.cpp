#include "test/scenario_runner/stage.hpp"

#include "test/scenario_runner/expectation_failure.hpp"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <optional>
#include <stdexcept>
#include <utility>

namespace chivedeal::scenario {

namespace {

using nlohmann::json;

constexpr absl::Duration poll_interval = absl::Milliseconds(20);
constexpr const char* platform_name = "platform";

// Teams sign with these keys in every scenario.
constexpr const char* team_keys = "hall=hall-key-0123456789,yard=yard-key-0123456789";
constexpr const char* hall_key = "hall-key-0123456789";
constexpr const char* yard_key = "yard-key-0123456789";

std::runtime_error fault_of(const statement& one, const std::string& reason)
{
    return std::runtime_error(absl::StrCat("line ", one.line, ": ", one.text, ": ", reason));
}

std::string option_of(const statement& one, const std::string& name, const std::string& fallback)
{
    const auto found = one.options.find(name);
    return found == one.options.end() ? fallback : found->second;
}

int number_of(const statement& one, const std::string& name, int fallback)
{
    int value = 0;
    if (!absl::SimpleAtoi(option_of(one, name, absl::StrCat(fallback)), &value))
        throw fault_of(one, name + " is not a number");
    return value;
}

const std::string& word_of(const statement& one, std::size_t index)
{
    if (index >= one.words.size())
        throw fault_of(one, "too few words");
    return one.words[index];
}

std::vector<std::string> flags_of(const statement& one)
{
    std::vector<std::string> flags;
    for (const auto& [name, value] : one.options) {
        flags.push_back("--" + name);
        flags.push_back(value);
    }
    return flags;
}

httplib::Client make_client(const address& target)
{
    httplib::Client client(target.host, target.port);
    client.set_connection_timeout(std::chrono::seconds(1));
    client.set_read_timeout(std::chrono::seconds(10));
    return client;
}

std::string text_of(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

bool compare(const std::string& seen, const std::string& op, const std::string& wanted)
{
    if (op == "contains")
        return absl::StrContains(seen, wanted);
    if (op == "lacks")
        return !absl::StrContains(seen, wanted);
    if (op == "==")
        return seen == wanted;
    if (op == "!=")
        return seen != wanted;
    double left = 0;
    double right = 0;
    if (!absl::SimpleAtod(seen, &left) || !absl::SimpleAtod(wanted, &right))
        return false;
    return op == "<=" ? left <= right : op == ">=" && left >= right;
}

std::string metric_of(const std::string& body, const std::string& name, const char* missing)
{
    for (const std::string& line : std::vector<std::string>(absl::StrSplit(body, '\n')))
        if (absl::StartsWith(line, name + " "))
            return line.substr(name.size() + 1);
    return missing;
}

// The value at a JSON pointer, or of a metric when the name is not one.
std::string value_at(const std::string& text, const std::string& name, const std::string& op)
{
    const json body = json::parse(text, nullptr, false);
    const bool is_pointer = absl::StartsWith(name, "/");
    // A counter that was never raised is not listed; "at most" is the only comparison it passes.
    const char* missing = op == "<=" && (body.is_object() || !is_pointer) ? "0" : "absent";
    if (!is_pointer)
        return metric_of(text, name, missing);
    const json::json_pointer pointer(name);
    return body.contains(pointer) ? text_of(body.at(pointer)) : missing;
}

} // namespace

stage::stage(options start) : m_options(std::move(start)) {}

stage::~stage()
{
    // Callers wait for nodes, so the nodes go first.
    for (auto& [name, one] : m_members)
        one.program.reset();
    m_loads.clear();
}

void stage::run(const statement& one)
{
    static const std::map<std::string, verb> verbs{{"platform", &stage::start_platform},
                                                   {"node", &stage::start_node},
                                                   {"engine", &stage::start_engine},
                                                   {"plain", &stage::start_plain},
                                                   {"ready", &stage::await_ready},
                                                   {"declare", &stage::declare},
                                                   {"change", &stage::change},
                                                   {"changed", &stage::await_change},
                                                   {"send", &stage::send},
                                                   {"load", &stage::start_load},
                                                   {"unload", &stage::stop_load},
                                                   {"await", &stage::await_answer},
                                                   {"await-tokens", &stage::await_tokens},
                                                   {"kill", &stage::signal},
                                                   {"term", &stage::signal},
                                                   {"interrupt", &stage::signal},
                                                   {"hang-up", &stage::signal},
                                                   {"freeze", &stage::signal},
                                                   {"thaw", &stage::signal},
                                                   {"exited", &stage::await_exit},
                                                   {"fault", &stage::set_fault},
                                                   {"notice", &stage::give_notice},
                                                   {"cut", &stage::cut},
                                                   {"heal", &stage::heal},
                                                   {"post", &stage::post},
                                                   {"expect", &stage::expect},
                                                   {"until", &stage::until},
                                                   {"log", &stage::expect_log},
                                                   {"pause", &stage::pause}};
    const auto found = verbs.find(one.verb);
    if (found == verbs.end())
        throw fault_of(one, "unknown verb");
    (this->*found->second)(one);
}

std::string stage::recent_output(std::size_t lines) const
{
    std::string out;
    for (const auto& [name, one] : m_members) {
        const std::vector<std::string> all = absl::StrSplit(one.program->output(), '\n');
        const std::size_t first = all.size() > lines ? all.size() - lines : 0;
        for (std::size_t i = first; i < all.size(); ++i)
            absl::StrAppend(&out, name, ": ", all[i], "\n");
    }
    return out;
}

stage::member& stage::find(const statement& one, const std::string& name)
{
    const auto found = m_members.find(name);
    if (found == m_members.end())
        throw fault_of(one, "unknown name " + name);
    return found->second;
}

void stage::launch(const std::string& name, member added, std::vector<std::string> command)
{
    command.front() = m_options.bin_dir + "/" + command.front();
    std::vector<std::string> environment = m_options.node_environment;
    environment.push_back(std::string("CHIVEDEAL_TEAM_KEYS=") + team_keys);
    environment.emplace_back("GLOG_logtostderr=1");
    added.program = std::make_unique<process>(
        process::options{.command = std::move(command),
                         .environment = std::move(environment),
                         .output_file = absl::StrCat(m_options.output_dir, "/", name, ".log")});
    m_members[name] = std::move(added);
}

void stage::start_platform(const statement& one)
{
    member added{.program = nullptr, .http = m_ports.next(), .rpc = {}, .platform_link = nullptr};
    std::vector<std::string> command{"chivedeal_platform", "--port", absl::StrCat(added.http.port)};
    for (const std::string& flag : flags_of(one))
        command.push_back(flag);
    const address http = added.http;
    launch(platform_name, std::move(added), std::move(command));
    wait_until(one, [&](std::string&) {
        const auto answer = make_client(http).Get("/instances");
        return answer && answer->status == 200;
    });
}

void stage::start_node(const statement& one)
{
    const std::string& name = word_of(one, 0);
    member added{.program = nullptr,
                 .http = m_ports.next(),
                 .rpc = m_ports.next(),
                 .platform_link = std::make_unique<tcp_relay>(find(one, platform_name).http)};
    std::vector<std::string> seeds;
    for (const std::string& other : m_nodes)
        seeds.push_back(to_string(m_members.at(other).rpc));
    std::vector<std::string> command{
        "chivedeal",  "serve",
        "--node",     name,
        "--http",     to_string(added.http),
        "--rpc",      to_string(added.rpc),
        "--platform", to_string(added.platform_link->listen_address())};
    if (!seeds.empty()) {
        command.emplace_back("--seeds");
        command.push_back(absl::StrJoin(seeds, ","));
    }
    for (const std::string& flag : flags_of(one))
        command.push_back(flag);
    launch(name, std::move(added), std::move(command));
    m_nodes.push_back(name);
}

void stage::start_engine(const statement& one) { start_endpoint(one, "chivedeal_engine"); }

void stage::start_plain(const statement& one) { start_endpoint(one, "chivedeal_plain_service"); }

void stage::start_endpoint(const statement& one, const std::string& program)
{
    const std::string& name = word_of(one, 0);
    member added{.program = nullptr, .http = m_ports.next(), .rpc = {}, .platform_link = nullptr};
    std::vector<std::string> command{program,
                                     "--id",
                                     name,
                                     "--port",
                                     absl::StrCat(added.http.port),
                                     "--platform",
                                     to_string(find(one, platform_name).http)};
    for (const std::string& flag : flags_of(one))
        command.push_back(flag);
    launch(name, std::move(added), std::move(command));
}

void stage::await_ready(const statement& one)
{
    for (const std::string& name : one.words) {
        member& node = find(one, name);
        try {
            wait_until(one, [&](std::string& seen) {
                const auto answer = make_client(node.http).Get("/v1/status");
                seen = answer ? answer->body : "no answer";
                const json status = json::parse(seen, nullptr, false);
                return status.is_object() && status.value("ready", false);
            });
        }
        catch (const expectation_failure& failure) {
            // A node that does not start says nothing about the mechanism under proof.
            throw std::runtime_error(failure.what());
        }
    }
}

std::vector<address> stage::node_addresses(const std::string& first) const
{
    std::vector<address> addresses;
    if (!first.empty())
        addresses.push_back(m_members.at(first).http);
    for (const std::string& name : m_nodes)
        if (name != first)
            addresses.push_back(m_members.at(name).http);
    return addresses;
}

// `key-of=TEAM` signs with another team's key.
background_change::options stage::change_of(const statement& one, const std::string& path) const
{
    const std::string signer = option_of(one, "key-of", "");
    const auto key = [&](const char* own) {
        return signer.empty() ? own : signer == "hall" ? hall_key : yard_key;
    };
    const bool removes = one.options.contains("delete");
    return {.client = {.nodes = node_addresses(option_of(one, "node", "")),
                       .team_keys = {{team_id("hall"), key(hall_key)},
                                     {team_id("yard"), key(yard_key)}}},
            .path = path,
            .body = removes ? std::nullopt : std::optional<std::string>(one.json),
            .expected_version = number_of(one, "version", -1)};
}

void stage::declare(const statement& one)
{
    background_change change(change_of(one, word_of(one, 0)));
    wait_until(one, [&](std::string&) { return change.effect().has_value(); });
    const error effect = *change.effect();
    if (option_of(one, "code", "0") != absl::StrCat(static_cast<int>(effect.code)))
        throw expectation_failure(fault_of(one, to_string(effect)).what());
}

void stage::change(const statement& one)
{
    m_changes[word_of(one, 0)] =
        std::make_unique<background_change>(change_of(one, word_of(one, 1)));
}

void stage::await_change(const statement& one)
{
    const auto& change = m_changes.at(word_of(one, 0));
    wait_until(one, [&](std::string&) { return change->effect().has_value(); });
    const std::string seen = absl::StrCat(static_cast<int>(change->effect()->code));
    const std::vector<std::string> allowed = absl::StrSplit(option_of(one, "code", "0"), '|');
    if (std::find(allowed.begin(), allowed.end(), seen) == allowed.end())
        throw expectation_failure(fault_of(one, to_string(*change->effect())).what());
}

operators::caller_client::options stage::client_of(const statement& one) const
{
    return {.time = m_clock, .addresses = node_addresses(option_of(one, "node", ""))};
}

operators::caller_client::call stage::call_of(const statement& one, const std::string& name) const
{
    json body = one.json.empty() ? json::object() : json::parse(one.json);
    if (one.options.contains("prompt"))
        body["prompt"] = one.options.at("prompt");
    if (one.options.contains("tokens"))
        body["max_tokens"] = number_of(one, "tokens", 0);
    if (one.options.contains("route"))
        body["route"] = one.options.at("route");
    return {.request = request_id(name),
            .service = service_id(option_of(one, "service", "")),
            .workspace = workspace_id(option_of(one, "workspace", "")),
            .body = body.dump(),
            .idempotency_key = option_of(one, "key", ""),
            .priority = number_of(one, "priority", 5),
            .deadline = absl::Milliseconds(number_of(one, "deadline-ms", 120'000))};
}

void stage::send(const statement& one)
{
    const std::string& name = word_of(one, 0);
    m_calls[name] = std::make_unique<background_call>(client_of(one), call_of(one, name));
}

// Without an ID, so that each request of the load gets a random one.
void stage::start_load(const statement& one)
{
    m_loads[word_of(one, 0)] = std::make_unique<background_load>(
        background_load::options{.client = client_of(one),
                                 .call = call_of(one, ""),
                                 .threads = number_of(one, "threads", 1)});
}

void stage::stop_load(const statement& one) { m_loads.erase(word_of(one, 0)); }

void stage::await_answer(const statement& one)
{
    const auto& call = m_calls.at(word_of(one, 0));
    wait_until(one, [&](std::string& seen) {
        seen = absl::StrCat("no outcome after ", call->tokens(), " tokens");
        return call->answer().has_value();
    });
    const operators::caller_answer answer = *call->answer();
    std::map<std::string, std::string> seen{
        {"outcome", answer.outcome},
        {"tokens", absl::StrCat(answer.tokens.size())},
        {"code", absl::StrCat(static_cast<int>(answer.reason.code))},
        {"repeats", absl::StrCat(answer.repeats)}};
    for (const auto& [key, wanted] : one.options) {
        if (key == "same-as") {
            if (m_calls.at(wanted)->answer()->tokens != answer.tokens)
                throw expectation_failure(fault_of(one, "the answers differ").what());
            continue;
        }
        const std::vector<std::string> allowed = absl::StrSplit(wanted, '|');
        if (std::find(allowed.begin(), allowed.end(), seen[key]) == allowed.end())
            throw expectation_failure(fault_of(one, absl::StrCat(key, " is ", seen[key], " (",
                                                                 answer.reason.message, ")"))
                                          .what());
    }
}

void stage::await_tokens(const statement& one)
{
    const auto& call = m_calls.at(word_of(one, 0));
    std::size_t wanted = 0;
    if (!absl::SimpleAtoi(word_of(one, 1), &wanted))
        throw fault_of(one, "not a number");
    wait_until(one, [&](std::string& seen) {
        seen = absl::StrCat(call->tokens(), " tokens");
        return call->tokens() >= wanted || call->answer().has_value();
    });
}

void stage::signal(const statement& one)
{
    static const std::map<std::string, int> numbers{{"kill", SIGKILL},     {"term", SIGTERM},
                                                    {"interrupt", SIGINT}, {"hang-up", SIGHUP},
                                                    {"freeze", SIGSTOP},   {"thaw", SIGCONT}};
    for (const std::string& name : one.words)
        find(one, name).program->signal(numbers.at(one.verb));
}

void stage::await_exit(const statement& one)
{
    process& program = *find(one, word_of(one, 0)).program;
    wait_until(one, [&](std::string&) { return program.ended(); });
    if (const int wanted = number_of(one, "status", 0); program.exit_status() != wanted)
        throw expectation_failure(
            fault_of(one, absl::StrCat("exit status ", program.exit_status())).what());
}

void stage::set_fault(const statement& one)
{
    const auto answer =
        make_client(find(one, word_of(one, 0)).http).Post("/faults", one.json, "application/json");
    if (!answer || answer->status != 200)
        throw fault_of(one, "not taken");
}

void stage::give_notice(const statement& one)
{
    for (const std::string& instance : one.words) {
        const json body{{"instance", instance},
                        {"deadline_ms", number_of(one, "deadline-ms", 30'000)}};
        const auto answer = make_client(find(one, platform_name).http)
                                .Post("/notices", body.dump(), "application/json");
        if (!answer || answer->status != 200)
            throw fault_of(one, "not taken");
    }
}

void stage::cut(const statement& one)
{
    for (const std::string& name : one.words)
        find(one, name).platform_link->cut();
}

void stage::heal(const statement& one)
{
    for (const std::string& name : one.words)
        find(one, name).platform_link->heal();
}

void stage::post(const statement& one)
{
    const auto answer = make_client(find(one, word_of(one, 0)).http)
                            .Post(word_of(one, 1), one.json, "application/json");
    const int wanted = number_of(one, "status", 200);
    if (!answer || answer->status != wanted)
        throw expectation_failure(
            fault_of(one, answer ? absl::StrCat(answer->status, " ", answer->body) : "no answer")
                .what());
}

// `NAME PATH contains|lacks TEXT` on the body, or `NAME PATH POINTER OP VALUE` on its JSON, or
// `NAME /metrics METRIC OP VALUE`.
bool stage::holds(const statement& one, std::string& seen)
{
    const auto answer = make_client(find(one, word_of(one, 0)).http).Get(word_of(one, 1));
    seen = answer ? answer->body : "no answer";
    if (!answer)
        return false;
    if (one.words.size() == 4)
        return compare(seen, one.words[2], one.words[3]);
    const std::string& op = word_of(one, 3);
    const std::string value = value_at(seen, word_of(one, 2), op);
    if (compare(value, op, word_of(one, 4)))
        return true;
    seen = absl::StrCat(value, " in ", seen);
    return false;
}

void stage::expect(const statement& one)
{
    std::string seen;
    if (!holds(one, seen))
        throw expectation_failure(fault_of(one, "seen " + seen).what());
}

void stage::until(const statement& one)
{
    wait_until(one, [&](std::string& seen) { return holds(one, seen); });
}

void stage::expect_log(const statement& one)
{
    process& program = *find(one, word_of(one, 0)).program;
    wait_until(one, [&](std::string&) {
        return compare(program.output(), word_of(one, 1), word_of(one, 2));
    });
}

void stage::pause(const statement& one)
{
    absl::SleepFor(absl::Milliseconds(number_of(one, "ms", 0)));
}

void stage::wait_until(const statement& one,
                       const std::function<bool(std::string& seen)>& condition)
{
    const absl::Time limit = m_clock.now() + m_options.wait_limit;
    std::string seen;
    while (!condition(seen)) {
        if (m_clock.now() >= limit)
            throw expectation_failure(fault_of(one, "not in time, seen " + seen).what());
        absl::SleepFor(poll_interval);
    }
}

} // namespace chivedeal::scenario
