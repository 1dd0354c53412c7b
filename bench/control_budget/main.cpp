// Measures what idle entry nodes spend on control, with real processes on loopback.
#include "bench/control_budget/cluster.hpp"
#include "bench/report.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

using chivedeal::bench::cluster;
using chivedeal::bench::process_usage;
using chivedeal::bench::report;

namespace {

constexpr const char* group = "control_budget";
constexpr int changes = 10;
constexpr std::size_t notices = 5;
// Seeds are asked and leases are taken in the first seconds only.
constexpr absl::Duration settling = absl::Seconds(5);

struct reading
{
    absl::Time at;
    std::vector<process_usage> usage;
    std::vector<std::map<std::string, double>> bytes;
};

reading read_all(const cluster& nodes)
{
    reading out{.at = absl::Now(), .usage = {}, .bytes = {}};
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        out.usage.push_back(nodes.usage(i));
        out.bytes.push_back(nodes.control_bytes(i));
    }
    return out;
}

class summary
{
public:
    summary(report& out, std::string policy) : m_out(out), m_policy(std::move(policy)) {}

    // Mean and largest of the nodes.
    void add(const std::string& measure, const std::vector<double>& values, const char* unit)
    {
        double sum = 0;
        for (const double value : values)
            sum += value;
        m_out.add(group, measure + "_mean", m_policy, sum / static_cast<double>(values.size()),
                  unit);
        m_out.add(group, measure + "_max", m_policy, *std::ranges::max_element(values), unit);
    }

private:
    report& m_out;
    std::string m_policy;
};

void add_difference(summary& out, const reading& before, const reading& after)
{
    const double seconds = absl::ToDoubleSeconds(after.at - before.at);
    std::vector<double> processor;
    std::vector<double> resident;
    std::vector<double> anonymous;
    std::vector<double> threads;
    std::map<std::string, std::vector<double>> bytes;
    for (std::size_t i = 0; i < after.usage.size(); ++i) {
        const process_usage& usage = after.usage[i];
        processor.push_back((usage.processor_seconds - before.usage[i].processor_seconds) /
                            seconds * 100);
        resident.push_back(usage.resident_bytes / 1024 / 1024);
        anonymous.push_back(usage.anonymous_bytes / 1024 / 1024);
        threads.push_back(usage.threads);
        for (const auto& [name, value] : after.bytes[i]) {
            const auto earlier = before.bytes[i].find(name);
            const double start = earlier == before.bytes[i].end() ? 0 : earlier->second;
            std::vector<double>& all = bytes[name];
            all.resize(after.usage.size());
            all[i] = (value - start) / seconds;
        }
    }
    out.add("processor", processor, "% of a core");
    out.add("resident", resident, "MB");
    out.add("anonymous", anonymous, "MB");
    out.add("threads", threads, "threads");
    for (const auto& [name, values] : bytes)
        out.add(name.substr(name.find('{')), values, "B/s");
}

void measure(report& out, const cluster::options& start, absl::Duration interval)
{
    cluster nodes(start);
    absl::SleepFor(settling);
    const reading before = read_all(nodes);
    absl::SleepFor(interval);
    const reading after = read_all(nodes);
    summary rows(out, absl::StrCat(start.nodes, "_nodes_", start.endpoints, "_endpoints"));
    add_difference(rows, before, after);
    std::vector<double> unready;
    for (std::size_t i = 0; i < nodes.size(); ++i)
        unready.push_back(static_cast<double>(nodes.unready_peers(i)));
    rows.add("ready_peers_shown_as_unready", unready, "nodes");
    std::vector<double> in_force;
    for (int i = 0; i < changes; ++i)
        in_force.push_back(absl::ToDoubleMilliseconds(nodes.measure_change(i)));
    rows.add("change_in_force_on_all", in_force, "ms");
    std::vector<double> leaving;
    for (std::size_t i = 0; i < std::min(notices, start.endpoints); ++i)
        leaving.push_back(absl::ToDoubleMilliseconds(nodes.measure_leaving(i)));
    if (!leaving.empty())
        rows.add("leaving_known_on_all", leaving, "ms");
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    po::options_description flags("chivedeal_control_budget");
    flags.add_options()("bin-dir", po::value<std::string>()->required(),
                        "folder of chivedeal and the stand-ins") //
        ("output-dir", po::value<std::string>()->default_value("/tmp/chivedeal_control_budget"),
         "folder of the processes' logs") //
        ("nodes", po::value<std::vector<std::size_t>>()->multitoken()->required(),
         "numbers of nodes, one run each")                                             //
        ("endpoints", po::value<std::size_t>()->default_value(20), "listed endpoints") //
        ("seconds", po::value<int>()->default_value(30), "measured interval")          //
        ("serve-flags",
         po::value<std::string>()->default_value("--max-streams 16 --endpoint-workers 4"),
         "flags of chivedeal serve") //
        ("json", "JSON instead of a table");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, flags), values);
        po::notify(values);
        report out;
        for (const std::size_t nodes : values["nodes"].as<std::vector<std::size_t>>()) {
            const std::string folder =
                absl::StrCat(values["output-dir"].as<std::string>(), "/", nodes);
            std::filesystem::create_directories(folder);
            measure(out,
                    {.bin_dir = values["bin-dir"].as<std::string>(),
                     .output_dir = folder,
                     .nodes = nodes,
                     .endpoints = values["endpoints"].as<std::size_t>(),
                     .serve_flags = absl::StrSplit(values["serve-flags"].as<std::string>(), ' ',
                                                   absl::SkipEmpty())},
                    absl::Seconds(values["seconds"].as<int>()));
        }
        std::puts(values.count("json") > 0 ? out.json().c_str() : out.table().c_str());
    }
    catch (const std::exception& fault) {
        std::fprintf(stderr, "%s\n", fault.what());
        return 1;
    }
    return 0;
}
