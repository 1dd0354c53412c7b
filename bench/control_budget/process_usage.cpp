#include "bench/control_budget/process_usage.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <unistd.h>

#include <cstddef>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>
#include <vector>

namespace chivedeal::bench {

namespace {

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        throw std::runtime_error("cannot read " + path);
    return {std::istreambuf_iterator<char>(in), {}};
}

double number_of(const std::string& text)
{
    double value = 0;
    if (!absl::SimpleAtod(text, &value))
        throw std::runtime_error("not a number: " + text);
    return value;
}

// Value of a line `NAME:  VALUE [kB]`.
double field_of(const std::string& status, const std::string& name)
{
    const std::size_t begin = status.find(name + ":");
    if (begin == std::string::npos)
        throw std::runtime_error("no " + name);
    const std::size_t first = status.find_first_of("0123456789", begin);
    return number_of(status.substr(first, status.find_first_not_of("0123456789", first) - first));
}

} // namespace

process_usage read_usage(pid_t pid)
{
    const std::string folder = absl::StrCat("/proc/", pid);
    const std::string stat = read_file(folder + "/stat");
    // The program's name ends with the last bracket; utime and stime are fields 14 and 15.
    const std::vector<std::string> fields = absl::StrSplit(stat.substr(stat.rfind(')') + 2), ' ');
    const std::string status = read_file(folder + "/status");
    constexpr double kilobyte = 1024;
    return {.processor_seconds = (number_of(fields.at(11)) + number_of(fields.at(12))) /
                                 static_cast<double>(sysconf(_SC_CLK_TCK)),
            .resident_bytes = field_of(status, "VmRSS") * kilobyte,
            .anonymous_bytes = field_of(status, "RssAnon") * kilobyte,
            .threads = field_of(status, "Threads")};
}

} // namespace chivedeal::bench
