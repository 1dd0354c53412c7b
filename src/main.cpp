#include "chivedeal/operators/apply_command.hpp"
#include "chivedeal/operators/check_command.hpp"
#include "chivedeal/operators/diff_command.hpp"
#include "chivedeal/operators/drain_command.hpp"
#include "chivedeal/operators/exit_code.hpp"
#include "chivedeal/operators/get_command.hpp"
#include "chivedeal/operators/moves_command.hpp"
#include "chivedeal/operators/send_command.hpp"
#include "chivedeal/operators/serve_command.hpp"
#include "chivedeal/operators/status_command.hpp"
#include "platform/forward_command.hpp"

#include <glog/logging.h>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace {

using chivedeal::operators::command;

std::vector<std::unique_ptr<command>> make_commands()
{
    namespace operators = chivedeal::operators;
    std::vector<std::unique_ptr<command>> all;
    all.push_back(std::make_unique<operators::serve_command>());
    all.push_back(std::make_unique<operators::apply_command>());
    all.push_back(std::make_unique<operators::get_command>());
    all.push_back(std::make_unique<operators::diff_command>());
    all.push_back(std::make_unique<operators::status_command>());
    all.push_back(std::make_unique<operators::moves_command>());
    all.push_back(std::make_unique<operators::drain_command>());
    all.push_back(std::make_unique<operators::check_command>());
    all.push_back(std::make_unique<operators::send_command>());
    all.push_back(std::make_unique<chivedeal::platform::forward_command>());
    return all;
}

void print_help(const std::vector<std::unique_ptr<command>>& commands, std::FILE* out)
{
    std::fprintf(out, "Usage: chivedeal COMMAND [--help]\n\n");
    for (const auto& one : commands)
        std::fprintf(out, "  %-9s %s\n", one->name().c_str(), one->summary().c_str());
}

} // namespace

int main(int argc, char** argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    const auto commands = make_commands();
    const std::string wanted = argc > 1 ? argv[1] : "";
    if (wanted == "--help" || wanted == "help") {
        print_help(commands, stdout);
        return 0;
    }
    for (const auto& one : commands)
        if (one->name() == wanted)
            return one->run({argv + 2, argv + argc});
    print_help(commands, stderr);
    return chivedeal::operators::report_error(
        {.code = chivedeal::result_code::usage,
         .message = wanted.empty() ? "name a command" : "unknown command '" + wanted + "'"});
}
