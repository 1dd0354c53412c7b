#include "test/scenario_runner/script.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace chivedeal::scenario {

namespace {

// Splits at spaces outside double quotes; nothing when a quote is left open.
std::optional<std::vector<std::string>> split_words(const std::string& text)
{
    std::vector<std::string> words;
    std::string word;
    bool quoted = false;
    bool started = false;
    for (const char c : text) {
        if (c == '"') {
            quoted = !quoted;
            started = true;
        }
        else if (c == ' ' && !quoted) {
            if (started)
                words.push_back(word);
            word.clear();
            started = false;
        }
        else {
            word += c;
            started = true;
        }
    }
    if (started)
        words.push_back(word);
    if (quoted)
        return std::nullopt;
    return words;
}

bool is_option(const std::string& word)
{
    const auto equals = word.find('=');
    if (equals == std::string::npos || equals == 0 || word[equals - 1] == '!' ||
        word[equals - 1] == '<' || word[equals - 1] == '>' || word[0] == '/')
        return false;
    return equals + 1 >= word.size() || word[equals + 1] != '=';
}

error malformed(int line, const std::string& text, const char* reason)
{
    return {.code = result_code::malformed_message,
            .message = absl::StrCat("line ", line, ": ", reason, ": ", text)};
}

result<statement> parse_statement(int line, const std::string& text)
{
    statement parsed{.line = line, .text = text};
    const auto brace = text.find(" {");
    if (brace != std::string::npos) {
        parsed.json = text.substr(brace + 1);
        if (!nlohmann::json::accept(parsed.json))
            return malformed(line, text, "not a JSON object");
    }
    const auto words = split_words(text.substr(0, brace));
    if (!words || words->empty())
        return malformed(line, text, "open quote");
    parsed.verb = words->front();
    for (std::size_t i = 1; i < words->size(); ++i) {
        const std::string& word = (*words)[i];
        if (!is_option(word)) {
            parsed.words.push_back(word);
            continue;
        }
        const auto equals = word.find('=');
        parsed.options[word.substr(0, equals)] = word.substr(equals + 1);
    }
    return parsed;
}

} // namespace

result<script> parse_script(const std::string& text)
{
    script parsed;
    int line = 0;
    for (const auto& raw : absl::StrSplit(text, '\n')) {
        ++line;
        const std::string trimmed(absl::StripAsciiWhitespace(raw));
        if (trimmed.empty() || trimmed.front() == '#')
            continue;
        auto one = parse_statement(line, trimmed);
        if (!is_ok(one))
            return get_error(one);
        statement parsed_statement = take_value(std::move(one));
        if (parsed_statement.verb == "proves" && parsed_statement.words.size() == 3) {
            parsed.promise = parsed_statement.words[0];
            parsed.mechanism = parsed_statement.words[2];
            continue;
        }
        parsed.statements.push_back(std::move(parsed_statement));
    }
    return parsed;
}

} // namespace chivedeal::scenario
