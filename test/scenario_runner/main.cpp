#include "test/scenario_runner/expectation_failure.hpp"
#include "test/scenario_runner/script.hpp"
#include "test/scenario_runner/stage.hpp"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace {

using chivedeal::scenario::expectation_failure;
using chivedeal::scenario::script;
using chivedeal::scenario::stage;

struct arguments
{
    std::string bin_dir;
    std::string file;
    bool without_mechanism = false;
};

arguments parse_arguments(int argc, char** argv)
{
    arguments parsed;
    for (int i = 1; i < argc; ++i) {
        const std::string one = argv[i];
        if (one == "--without-mechanism")
            parsed.without_mechanism = true;
        else if (one == "--bin-dir" && i + 1 < argc)
            parsed.bin_dir = argv[++i];
        else
            parsed.file = one;
    }
    return parsed;
}

std::string read_file(const std::string& name)
{
    std::ifstream in(name);
    return {std::istreambuf_iterator<char>(in), {}};
}

std::string make_output_dir()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "chivedeal-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot make a directory for the output");
    return pattern;
}

// Runs the scenario and returns the exit code. With the mechanism off, a failed expectation is
// what the run has to show; a fault of any other kind is a failure in both cases.
int run(const arguments& given, const script& parsed)
{
    stage::options start{.bin_dir = given.bin_dir, .output_dir = make_output_dir()};
    if (given.without_mechanism) {
        start.node_environment.push_back("CHIVEDEAL_DISABLE=" + parsed.mechanism);
        // Nothing is expected to come true later than with the mechanism on.
        start.wait_limit = absl::Seconds(15);
    }
    const std::string output_dir = start.output_dir;
    stage running(std::move(start));
    int code = given.without_mechanism ? 1 : 0;
    try {
        for (const auto& one : parsed.statements)
            running.run(one);
        if (given.without_mechanism)
            std::printf("passed although %s is off\n", parsed.mechanism.c_str());
    }
    catch (const expectation_failure& failure) {
        code = given.without_mechanism ? 0 : 1;
        std::printf("%s: %s\n", given.without_mechanism ? "failed as expected" : "failed",
                    failure.what());
        if (code != 0)
            std::printf("%s", running.recent_output(30).c_str());
    }
    catch (const std::exception& fault) {
        code = 2;
        std::printf("cannot run: %s\n%s", fault.what(), running.recent_output(30).c_str());
    }
    std::error_code ignored;
    std::filesystem::remove_all(output_dir, ignored);
    return code;
}

} // namespace

// Usage: chivedeal_scenario --bin-dir DIR [--without-mechanism] FILE
int main(int argc, char** argv)
{
    const arguments given = parse_arguments(argc, argv);
    const auto parsed = chivedeal::scenario::parse_script(read_file(given.file));
    if (!chivedeal::is_ok(parsed)) {
        std::printf("%s: %s\n", given.file.c_str(),
                    chivedeal::to_string(chivedeal::get_error(parsed)).c_str());
        return 2;
    }
    if (chivedeal::get_value(parsed).statements.empty() ||
        (given.without_mechanism && chivedeal::get_value(parsed).mechanism.empty())) {
        std::printf("%s: no statements, or no mechanism to switch off\n", given.file.c_str());
        return 2;
    }
    return run(given, chivedeal::get_value(parsed));
}
