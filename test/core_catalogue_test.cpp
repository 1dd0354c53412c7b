#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/result_code.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace {

// Reads the rows `| NUMBER | `NAME` | ... |` of a table in docs/.
std::map<int, std::string> read_table(const std::string& file)
{
    std::map<int, std::string> rows;
    std::ifstream in(std::string(CHIVEDEAL_SOURCE_DIR) + "/docs/" + file);
    for (std::string line; std::getline(in, line);) {
        const std::vector<std::string> cells = absl::StrSplit(line, '|');
        int number = 0;
        if (cells.size() >= 4 && absl::SimpleAtoi(cells[1], &number))
            rows[number] = std::string(absl::StripAsciiWhitespace(cells[2]));
    }
    return rows;
}

template<class Codes>
std::map<int, std::string> rows_of(const Codes& codes)
{
    std::map<int, std::string> rows;
    for (const auto code : codes)
        rows[static_cast<int>(code)] = "`" + to_string(code) + "`";
    return rows;
}

} // namespace

// Guards against a result code that operators can't look up.
TEST(catalogue, lists_every_result_code)
{
    EXPECT_EQ(read_table("result-codes.md"), rows_of(chivedeal::all_result_codes()));
}

// Guards against a log event that operators can't look up.
TEST(catalogue, lists_every_log_event)
{
    EXPECT_EQ(read_table("log-events.md"), rows_of(chivedeal::all_event_ids()));
}

// Guards against lines of request IDs of many kilobytes that take the memory while they wait.
TEST(log_event, limits_the_length_of_a_value)
{
    const std::string line = chivedeal::format_log_event(chivedeal::event_id::peer_dead,
                                                         {{"peer", std::string(16384, 'x')}});
    EXPECT_EQ(line, "CD3003 peer_dead peer=" + std::string(512, 'x'));
}

// Guards against a value with a line break that would forge a second event.
TEST(log_event, quotes_values)
{
    EXPECT_EQ(chivedeal::format_log_event(chivedeal::event_id::peer_dead,
                                          {{"peer", "n 1\nCD1001"}, {"empty", ""}}),
              "CD3003 peer_dead peer=\"n 1\\nCD1001\" empty=\"\"");
}
