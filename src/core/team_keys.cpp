#include "chivedeal/core/team_keys.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <utility>

namespace chivedeal {

namespace {

// A shorter key could be found by trial.
constexpr std::size_t min_key_bytes = 16;

error invalid(std::string message)
{
    return {.code = result_code::invalid_setting, .message = std::move(message)};
}

void read_entries(const std::string& entries, team_keys& out)
{
    int number = 0;
    for (const auto& entry :
         absl::StrSplit(entries, absl::ByAnyChar(",\n"), absl::SkipWhitespace())) {
        ++number;
        const std::pair<std::string, std::string> parts =
            absl::StrSplit(absl::StripAsciiWhitespace(entry), absl::MaxSplits('=', 1));
        if (parts.first.empty() || parts.second.size() < min_key_bytes) {
            out.faults.push_back(invalid(absl::StrCat("team keys: entry ", number,
                                                      " is not TEAM=KEY with a key of at least ",
                                                      min_key_bytes, " characters")));
            continue;
        }
        out.keys[team_id(parts.first)] = parts.second;
    }
}

} // namespace

team_keys read_team_keys(const std::string& file)
{
    team_keys out;
    if (const char* keys = std::getenv("CHIVEDEAL_TEAM_KEYS"); keys != nullptr)
        read_entries(keys, out);
    if (file.empty())
        return out;
    std::ifstream in(file);
    if (!in)
        out.faults.push_back(invalid(absl::StrCat("--team-keys-file: cannot read '", file, "'")));
    else
        read_entries(std::string(std::istreambuf_iterator<char>(in), {}), out);
    return out;
}

} // namespace chivedeal
