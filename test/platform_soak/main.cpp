// Fault soak: runs the program as several processes and checks what callers and endpoints see.
#include "test/platform_soak/soak_run.hpp"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <string>

namespace options = boost::program_options;

int main(int argc, char** argv)
{
    unsigned first_seed = 1;
    int seeds = 1;
    double seconds = 20;
    chivedeal::soak::soak_run::options settings;
    std::string logs;
    options::options_description description("chivedeal_soak");
    description.add_options()("program", options::value(&settings.program)->required(),
                              "the program under test")("seed", options::value(&first_seed),
                                                        "first seed")(
        "seeds", options::value(&seeds), "number of runs, each with the next seed")(
        "seconds", options::value(&seconds),
        "length of the faults in each run")("nodes", options::value(&settings.nodes), "processes")(
        "endpoints", options::value(&settings.endpoints), "endpoints of two services")(
        "callers", options::value(&settings.callers), "threads that send requests")(
        "logs", options::value(&logs)->required(), "directory for settings and logs");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    }
    catch (const std::exception& problem) {
        std::fprintf(stderr, "%s\n", problem.what());
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    settings.length = absl::Seconds(seconds);
    int failed_runs = 0;
    for (int i = 0; i < seeds; ++i) {
        settings.seed = first_seed + static_cast<unsigned>(i);
        settings.directory = logs + "/seed-" + std::to_string(settings.seed);
        std::filesystem::remove_all(settings.directory);
        std::filesystem::create_directories(settings.directory);
        chivedeal::soak::soak_run run(settings);
        const auto violations = run.run();
        std::printf("seed %u: %s, %s\n", settings.seed, violations.empty() ? "passed" : "FAILED",
                    run.summary().c_str());
        for (const std::string& violation : violations)
            std::printf("  %s\n", violation.c_str());
        std::fflush(stdout);
        failed_runs += violations.empty() ? 0 : 1;
        // Logs of runs that held are not needed.
        if (violations.empty())
            std::filesystem::remove_all(settings.directory);
    }
    return failed_runs == 0 ? 0 : 1;
}
